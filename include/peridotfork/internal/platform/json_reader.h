#ifndef PERIDOTFORK_INTERNAL_PLATFORM_JSON_READER_H_
#define PERIDOTFORK_INTERNAL_PLATFORM_JSON_READER_H_

#include <algorithm>
#include <cmath>
#include <concepts>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

#include "peridotfork/core/error.h"

namespace peridotfork::platform {

// Reads the fields of one JSON object. After the first error every read returns a default value,
// and error() returns that error.
class JsonReader {
 public:
  JsonReader(const nlohmann::json& object, std::string path)
      : object_(object), path_(std::move(path)) {
    if (!object_.is_object()) {
      Fail(ErrorKind::kWrongType, path_);
    }
  }

  bool failed() const { return error_.code.value() != 0; }
  const Error& error() const { return error_; }
  bool Has(const char* name) const { return !failed() && object_.contains(name); }

  std::string String(const char* name) {
    const nlohmann::json* const value = Find(name);
    if (value != nullptr && !value->is_string()) {
      Fail(ErrorKind::kWrongType, Path(name));
      return {};
    }
    return value == nullptr ? std::string() : value->get<std::string>();
  }

  bool Boolean(const char* name) {
    const nlohmann::json* const value = Find(name);
    if (value != nullptr && !value->is_boolean()) {
      Fail(ErrorKind::kWrongType, Path(name));
      return false;
    }
    return value != nullptr && value->get<bool>();
  }

  // Reads a number from 0 to `max`. Fractions are rejected for integral types.
  template <typename Number>
  Number NonNegative(const char* name, double max = MaxOf<Number>()) {
    const nlohmann::json* const value = Find(name);
    if (value == nullptr) {
      return 0;
    }
    if (!value->is_number() || (std::is_integral_v<Number> && !value->is_number_integer())) {
      Fail(ErrorKind::kWrongType, Path(name));
      return 0;
    }
    const double number = value->get<double>();
    if (!std::isfinite(number) || number < 0 || number > max) {
      Fail(ErrorKind::kOutOfRange, Path(name));
      return 0;
    }
    return value->get<Number>();
  }

  // Reads an array; returns an empty one after an error.
  const nlohmann::json& Array(const char* name) {
    static const nlohmann::json kEmpty = nlohmann::json::array();
    const nlohmann::json* const value = Find(name);
    if (value != nullptr && !value->is_array()) {
      Fail(ErrorKind::kWrongType, Path(name));
      return kEmpty;
    }
    return value == nullptr ? kEmpty : *value;
  }

  void Fail(ErrorKind kind, std::string where) {
    if (!failed()) {
      error_ = MakeError(kind, std::move(where));
    }
  }

  std::string Path(std::string_view name) const { return path_ + "." + std::string(name); }

 private:
  // 2^53: integers from 0 to this value are represented exactly by a double.
  static constexpr double kMaxNumber = 9007199254740992.0;

  template <typename Number>
  static constexpr double MaxOf() {
    return std::min(kMaxNumber, static_cast<double>(std::numeric_limits<Number>::max()));
  }

  const nlohmann::json* Find(const char* name) {
    if (failed()) {
      return nullptr;
    }
    const auto found = object_.find(name);
    if (found == object_.end()) {
      Fail(ErrorKind::kMissingField, Path(name));
      return nullptr;
    }
    return &*found;
  }

  const nlohmann::json& object_;
  const std::string path_;
  Error error_;
};

}  // namespace peridotfork::platform

#endif  // PERIDOTFORK_INTERNAL_PLATFORM_JSON_READER_H_
