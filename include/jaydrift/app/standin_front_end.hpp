#ifndef JAYDRIFT_APP_STANDIN_FRONT_END_HPP
#define JAYDRIFT_APP_STANDIN_FRONT_END_HPP

#include <jaydrift/app/standin_handlers.hpp>
#include <jaydrift/net/http_request.hpp>
#include <jaydrift/net/http_response.hpp>
#include <jaydrift/net/http_server.hpp>
#include <jaydrift/net/http_settings.hpp>

#include <cstdint>
#include <string_view>

namespace jaydrift::app {

/// The HTTP server of a stand-in. Serves `POST /control/<name>`, `GET /stats`
/// and `GET /timeline`. A control is answered with the counters after it has
/// taken effect.
class standin_front_end
{
public:
    /// Binds the address and starts to serve.
    ///
    /// @throws net::net_error if the address cannot be bound.
    standin_front_end(net::http_settings const& settings,
                      standin_handlers handlers);

    std::uint16_t port() const { return server_.port(); }

    /// Stops accepting and waits until the handlers in flight have answered.
    void stop() { server_.stop(); }

private:
    net::http_response serve(net::http_request request) const;
    net::http_response control(std::string_view name,
                               net::http_request const& request) const;
    net::http_response stats() const;

    standin_handlers const handlers_;
    net::http_server server_;
};

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_STANDIN_FRONT_END_HPP
