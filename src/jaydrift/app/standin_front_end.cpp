#include <jaydrift/app/standin_front_end.hpp>

#include <jaydrift/app/control_parameters.hpp>

#include <stdexcept>
#include <string>
#include <utility>

namespace jaydrift::app {

namespace {

constexpr std::string_view control_path = "/control/";

net::http_response json(std::string body)
{
    return {200, {{"Content-Type", "application/json"}}, std::move(body)};
}

net::http_response plain_text(int status, std::string_view text)
{
    return {status, {{"Content-Type", "text/plain"}}, std::string(text) + '\n'};
}

} // namespace

standin_front_end::standin_front_end(net::http_settings const& settings,
                                     standin_handlers handlers)
    : handlers_(std::move(handlers)),
      server_(settings, [this](net::http_request request) {
          return serve(std::move(request));
      })
{
}

net::http_response standin_front_end::serve(net::http_request request) const
{
    if (request.method == "POST" && request.path.starts_with(control_path))
    {
        return control(
            std::string_view(request.path).substr(control_path.size()),
            request);
    }
    if (request.method == "GET" && request.path == "/stats")
    {
        return stats();
    }
    if (request.method == "GET" && request.path == "/timeline")
    {
        return json(handlers_.timeline());
    }
    return handlers_.fallback ? handlers_.fallback(std::move(request))
                              : plain_text(404, "there is nothing here");
}

net::http_response
standin_front_end::control(std::string_view name,
                           net::http_request const& request) const
{
    try
    {
        handlers_.control(name, control_parameters(request.parameters));
    }
    catch (std::invalid_argument const& error)
    {
        return plain_text(400, error.what());
    }
    return stats();
}

net::http_response standin_front_end::stats() const
{
    auto text = handlers_.stats();
    return text ? json(*std::move(text))
                : plain_text(503, "the process is ending");
}

} // namespace jaydrift::app
