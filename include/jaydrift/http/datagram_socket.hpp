#ifndef JAYDRIFT_HTTP_DATAGRAM_SOCKET_HPP
#define JAYDRIFT_HTTP_DATAGRAM_SOCKET_HPP

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace boost::asio {
class io_context;
}

namespace jaydrift::http {

/// Sends and receives UDP datagrams. Runs on the thread of its io_context.
class datagram_socket
{
public:
    /// Called with the sender's address (IP:PORT) and the content.
    using handler = std::function<void(std::string, std::string_view)>;

    /// Binds to `address` (IP:PORT). The io_context must outlive the socket.
    ///
    /// @throws boost::system::system_error if the address cannot be used.
    datagram_socket(boost::asio::io_context& context, std::string_view address,
                    handler receive);
    datagram_socket(datagram_socket const&) = delete;
    datagram_socket& operator=(datagram_socket const&) = delete;
    ~datagram_socket();

    /// Port that the socket is bound to.
    unsigned short port() const;

    /// Sends to `address` (IP:PORT). A datagram that cannot be sent at once, or
    /// whose address is not a network address, is dropped.
    void send(std::string_view address, std::string_view content);

private:
    class state;
    std::shared_ptr<state> state_;
};

} // namespace jaydrift::http

#endif // JAYDRIFT_HTTP_DATAGRAM_SOCKET_HPP
