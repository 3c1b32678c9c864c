#ifndef PERIDOTFORK_TRANSPORT_MESSAGE_TABLE_H_
#define PERIDOTFORK_TRANSPORT_MESSAGE_TABLE_H_

#include <array>
#include <cstddef>
#include <type_traits>
#include <utility>
#include <variant>

#include "peridotfork/protocol/message.h"

namespace peridotfork {

// Maps each message type to the method of `Owner` that handles it. Thread-safe once it
// has been built.
template <typename Owner>
class MessageTable {
 public:
  // Registers a method with the signature void(const Envelope&, const SomeMessage&).
  template <auto kMethod>
  MessageTable&& On() && {
    Add<kMethod>(kMethod);
    return std::move(*this);
  }

  // Calls the method for the message type. Returns false if none is registered.
  bool Dispatch(Owner& owner, const protocol::Envelope& envelope) const {
    const Invoker invoker = invokers_[envelope.message.index()];
    if (invoker == nullptr) {
      return false;
    }
    invoker(owner, envelope);
    return true;
  }

 private:
  using Invoker = void (*)(Owner&, const protocol::Envelope&);

  template <auto kMethod, typename Body>
  void Add(void (Owner::*)(const protocol::Envelope&, const Body&)) {
    const std::size_t index = protocol::Message(Body()).index();
    invokers_[index] = [](Owner& owner, const protocol::Envelope& envelope) {
      (owner.*kMethod)(envelope, std::get<Body>(envelope.message));
    };
  }

  std::array<Invoker, std::variant_size_v<protocol::Message>> invokers_{};
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_TRANSPORT_MESSAGE_TABLE_H_
