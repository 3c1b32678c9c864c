#ifndef PERIDOTFORK_HTTP_SHARED_BODY_H_
#define PERIDOTFORK_HTTP_SHARED_BODY_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <string>
#include <utility>

namespace peridotfork::http {

// The body of several messages, which is held once. Immutable.
class SharedBytes : public boost::intrusive_ref_counter<SharedBytes> {
 public:
  explicit SharedBytes(std::string bytes) : bytes_(std::move(bytes)) {}
  virtual ~SharedBytes() = default;
  SharedBytes(const SharedBytes&) = delete;
  SharedBytes& operator=(const SharedBytes&) = delete;

  const std::string& bytes() const { return bytes_; }

 private:
  const std::string bytes_;
};

using SharedBytesPtr = boost::intrusive_ptr<const SharedBytes>;

// Body type of messages that share their bytes; a null pointer is an empty body. Meets the
// requirements of Beast for messages that are sent.
struct SharedBody {
  using value_type = SharedBytesPtr;

  static std::uint64_t size(const value_type& body) { return body ? body->bytes().size() : 0; }

  class writer {  // NOLINT(readability-identifier-naming): the name that Beast requires.
   public:
    using const_buffers_type = boost::asio::const_buffer;

    template <bool is_request, class Fields>
    writer(const boost::beast::http::header<is_request, Fields>&, const value_type& body)
        : body_(body) {}

    void init(boost::beast::error_code& error) { error = {}; }
    boost::optional<std::pair<const_buffers_type, bool>> get(boost::beast::error_code& error) {
      error = {};
      return {{body_ ? boost::asio::buffer(body_->bytes()) : const_buffers_type(), false}};
    }

   private:
    const value_type& body_;
  };
};

using SharedRequest = boost::beast::http::request<SharedBody>;

}  // namespace peridotfork::http

#endif  // PERIDOTFORK_HTTP_SHARED_BODY_H_
