#ifndef JAYDRIFT_HTTP_SERVER_HPP
#define JAYDRIFT_HTTP_SERVER_HPP

#include <jaydrift/http/request.hpp>
#include <jaydrift/http/response.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

namespace boost::asio {
class io_context;
}

namespace jaydrift::http {

/// Serves HTTP/1.1 on one address. Runs on the thread of its io_context.
///
/// There are limits to the size of a request, the time to receive it, and the
/// number of connections. A body that is too large is answered with status 413;
/// beyond any other limit, the connection is closed.
class server
{
public:
    /// Sends the response to one request. Must be called once, at any time, on
    /// the thread of the io_context; until then, the connection stays open.
    using responder = std::function<void(response)>;
    /// Takes a request with the responder for it.
    using handler = std::function<void(request, responder)>;

    /// Listens on `address` (IP:PORT). The io_context must outlive the server.
    ///
    /// @throws boost::system::system_error if the address cannot be used.
    server(boost::asio::io_context& context, std::string_view address,
           handler serve);
    server(server const&) = delete;
    server& operator=(server const&) = delete;
    ~server();

    /// Port that the server listens on.
    unsigned short port() const;

    /// Closes each connection after its next response.
    void close_after_responses();

private:
    class state;
    std::shared_ptr<state> state_;
};

} // namespace jaydrift::http

#endif // JAYDRIFT_HTTP_SERVER_HPP
