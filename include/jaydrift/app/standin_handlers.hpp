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

/// Functions that answer the HTTP requests to a stand-in. They are called on
/// the threads of the HTTP server.
struct standin_handlers
{
    /// Applies a fault control by name; throws std::invalid_argument if there
    /// is no such control or a parameter is wrong.
    std::function<void(std::string_view, control_parameters const&)> control;
    /// Returns the counters as JSON, or nothing if the process is ending.
    std::function<std::optional<std::string>()> stats;
    /// Returns the timeline, one JSON object per line.
    std::function<std::string()> timeline;
    /// Serves every other path; if empty, these are answered with 404.
    std::function<net::http_response(net::http_request)> fallback;
};

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_STANDIN_HANDLERS_HPP
