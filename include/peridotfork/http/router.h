#ifndef PERIDOTFORK_HTTP_ROUTER_H_
#define PERIDOTFORK_HTTP_ROUTER_H_

#include <initializer_list>
#include <string_view>
#include <utility>
#include <vector>

#include "peridotfork/http/message.h"

namespace peridotfork::http {

// Maps method and path to the member function of `Owner` that handles the
// request. Immutable and therefore thread-safe.
template <typename Owner>
class Router {
 public:
  struct Route {
    std::string_view method;
    std::string_view path;
    void (Owner::*handle)(const Request& request, const Responder& respond);
  };

  Router(std::initializer_list<Route> routes) : routes_(routes) {}

  // Responds with 404 to an unknown path and with 405 to another method.
  void Dispatch(Owner& owner, const Request& request, const Responder& respond) const {
    bool path_known = false;
    for (const Route& route : routes_) {
      if (route.path != request.path) {
        continue;
      }
      if (route.method == request.method) {
        (owner.*route.handle)(request, respond);
        return;
      }
      path_known = true;
    }
    const unsigned status = path_known ? 405 : 404;
    respond(ErrorResponse(status, MakeError(ErrorKind::kUnknownName, path_known ? "method" : "path",
                                            path_known ? request.method : request.path)));
  }

 private:
  const std::vector<Route> routes_;
};

}  // namespace peridotfork::http

#endif  // PERIDOTFORK_HTTP_ROUTER_H_
