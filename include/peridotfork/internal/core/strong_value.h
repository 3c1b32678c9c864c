#ifndef PERIDOTFORK_INTERNAL_CORE_STRONG_VALUE_H_
#define PERIDOTFORK_INTERNAL_CORE_STRONG_VALUE_H_

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <utility>

namespace peridotfork {

// A strong typedef of `Rep` without implicit conversions. `Tag` makes values of
// different meaning distinct types. Copies are as thread-safe as `Rep`.
template <typename Tag, typename Rep>
class StrongValue {
 public:
  using rep = Rep;

  constexpr StrongValue() = default;
  constexpr explicit StrongValue(Rep value) : value_(std::move(value)) {}

  constexpr const Rep& value() const { return value_; }

  // clang-tidy 14 reads the zero in the generated comparison as a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend constexpr auto operator<=>(const StrongValue&, const StrongValue&) = default;
  friend constexpr bool operator==(const StrongValue&, const StrongValue&) = default;

  friend std::ostream& operator<<(std::ostream& out, const StrongValue& value) {
    return out << value.value_;
  }

 private:
  Rep value_{};
};

}  // namespace peridotfork

template <typename Tag, typename Rep>
struct std::hash<peridotfork::StrongValue<Tag, Rep>> {
  std::size_t operator()(const peridotfork::StrongValue<Tag, Rep>& value) const {
    return std::hash<Rep>{}(value.value());
  }
};

#endif  // PERIDOTFORK_INTERNAL_CORE_STRONG_VALUE_H_
