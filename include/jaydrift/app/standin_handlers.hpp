#ifndef JAYDRIFT_APP_STANDIN_HANDLERS_HPP
#define JAYDRIFT_APP_STANDIN_HANDLERS_HPP

#include <jaydrift/app/control_parameters.hpp>
#include <jaydrift/net/http_request.hpp>
#include <jaydrift/net/http_response.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace jaydrift::app {

/// What a stand-in serves over HTTP besides its own service.
struct standin_handlers
{
    /// Applies a fault control; throws std::invalid_argument if it is wrong.
    std::function<void(std::string_view, control_parameters const&)> control;
    /// Returns the counters, or nothing if the process is ending.
    std::function<std::optional<std::string>()> stats;
    std::function<std::string()> timeline;
    /// Serves every other path.
    std::function<net::http_response(net::http_request)> other;
};

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_STANDIN_HANDLERS_HPP
