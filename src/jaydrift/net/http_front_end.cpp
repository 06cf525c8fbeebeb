#include <jaydrift/net/http_front_end.hpp>

#include "front_end_routes.hpp"

#include <utility>

namespace jaydrift::net {

http_front_end::http_front_end(http_settings const& settings,
                               front_end_handlers const& handlers)
    : server_(
        settings,
        [handlers](http_request request) {
            return handle_caller_request(handlers, std::move(request));
        },
        handlers.ready)
{
}

} // namespace jaydrift::net
