#ifndef JAYDRIFT_NET_FRONT_END_ROUTES_HPP
#define JAYDRIFT_NET_FRONT_END_ROUTES_HPP

#include <jaydrift/net/front_end_handlers.hpp>
#include <jaydrift/net/http_request.hpp>
#include <jaydrift/net/http_response.hpp>

namespace jaydrift::net {

/// Handles one request of the callers' API. Blocks until the daemon replies or
/// the time for that is over. Invalid requests get a response that names the
/// field.
http_response handle_caller_request(front_end_handlers const& handlers,
                                    http_request request);

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_FRONT_END_ROUTES_HPP
