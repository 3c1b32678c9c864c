#ifndef PERIDOTFORK_HTTP_RAW_MESSAGE_H_
#define PERIDOTFORK_HTTP_RAW_MESSAGE_H_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace peridotfork::http {

// Complete messages with all header fields, for use by a proxy.
using RawRequest = boost::beast::http::request<boost::beast::http::string_body>;
using RawResponse = boost::beast::http::response<boost::beast::http::string_body>;

// The start line and the header fields of a request.
using RequestHead = RawRequest::header_type;

}  // namespace peridotfork::http

#endif  // PERIDOTFORK_HTTP_RAW_MESSAGE_H_
