#include <jaydrift/http/datagram_socket.hpp>

#include "endpoint.hpp"

#include <array>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

namespace jaydrift::http {

namespace {

using boost::asio::ip::udp;
using boost::system::error_code;

/// Larger than any datagram between daemons.
constexpr std::size_t max_datagram_bytes = 2048;

} // namespace

class datagram_socket::state
    : public std::enable_shared_from_this<datagram_socket::state>
{
public:
    state(boost::asio::io_context& context, udp::endpoint const& address,
          handler receive)
        : socket_(context, address), receive_(std::move(receive))
    {
        socket_.non_blocking(true);
    }

    /// Receives datagrams until the socket is closed.
    void listen()
    {
        socket_.async_receive_from(
            boost::asio::buffer(buffer_), sender_,
            [self = shared_from_this()](error_code const& error,
                                        std::size_t bytes) {
                if (error == boost::asio::error::operation_aborted)
                {
                    return;
                }
                if (!error)
                {
                    self->receive_(self->sender_.address().to_string() + ":"
                                       + std::to_string(self->sender_.port()),
                                   {self->buffer_.data(), bytes});
                }
                self->listen();
            });
    }

    void send(std::string_view address, std::string_view content)
    {
        if (auto const receiver = remote_endpoint<udp::endpoint>(address))
        {
            error_code ignored;
            socket_.send_to(boost::asio::buffer(content.data(), content.size()),
                            *receiver, 0, ignored);
        }
    }

    unsigned short port() const { return socket_.local_endpoint().port(); }

    void stop()
    {
        error_code ignored;
        socket_.close(ignored);
    }

private:
    udp::socket socket_;
    handler receive_;
    udp::endpoint sender_;
    std::array<char, max_datagram_bytes> buffer_{};
};

datagram_socket::datagram_socket(boost::asio::io_context& context,
                                 std::string_view address, handler receive)
    : state_(std::make_shared<state>(
        context, local_endpoint<udp::endpoint>(address), std::move(receive)))
{
    state_->listen();
}

datagram_socket::~datagram_socket() { state_->stop(); }

unsigned short datagram_socket::port() const { return state_->port(); }

void datagram_socket::send(std::string_view address, std::string_view content)
{
    state_->send(address, content);
}

} // namespace jaydrift::http
