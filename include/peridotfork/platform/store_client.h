#ifndef PERIDOTFORK_PLATFORM_STORE_CLIENT_H_
#define PERIDOTFORK_PLATFORM_STORE_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <chrono>
#include <string>

#include "peridotfork/discovery/metadata_store.h"
#include "peridotfork/http/client.h"

namespace peridotfork::platform {

// Client of the platform's metadata store. Makes one call at a time over one persistent
// connection. Must outlive its calls.
class StoreClient final : public MetadataStore {
 public:
  StoreClient(boost::asio::io_context& context, Address address);

  void List(const std::string& page, Callback done) override;
  void Watch(StoreRevision after, std::chrono::milliseconds wait, Callback done) override;

 private:
  using Decoder = Result<StoreReply> (*)(const std::string& body);

  void Call(http::Request request,
            std::chrono::milliseconds timeout,
            Decoder decode,
            Callback done);
  void Send(http::Request request,
            std::chrono::milliseconds timeout,
            Decoder decode,
            Callback done);

  boost::asio::io_context& context_;
  const Address address_;
  boost::intrusive_ptr<http::ClientConnection> connection_;
};

// Decode the body of a range reply and of a watch reply.
Result<StoreReply> DecodeRange(const std::string& body);
Result<StoreReply> DecodeEvents(const std::string& body);

}  // namespace peridotfork::platform

#endif  // PERIDOTFORK_PLATFORM_STORE_CLIENT_H_
