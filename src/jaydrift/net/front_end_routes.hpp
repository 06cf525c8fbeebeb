#ifndef JAYDRIFT_NET_FRONT_END_ROUTES_HPP
#define JAYDRIFT_NET_FRONT_END_ROUTES_HPP

#include <jaydrift/net/front_end_handlers.hpp>
#include <jaydrift/net/http_request.hpp>
#include <jaydrift/net/http_response.hpp>

namespace jaydrift::net {

/// Answers one request of the callers' API; waits for the handlers' answer.
http_response route(front_end_handlers const& handlers, http_request request);

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_FRONT_END_ROUTES_HPP
