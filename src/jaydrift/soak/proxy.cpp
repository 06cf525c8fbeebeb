#include "proxy.hpp"

#include "shared_rate.hpp"

#include <array>
#include <chrono>
#include <list>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace jaydrift::soak {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t chunk_bytes = 16384;
constexpr std::size_t ms_per_second = 1000;
constexpr std::chrono::milliseconds added_delay{300};

} // namespace

class proxy::state : public std::enable_shared_from_this<proxy::state>
{
public:
    state(boost::asio::io_context& context, unsigned short target_port,
          shared_rate& shared)
        : context_(context), shared_(shared),
          acceptor_(context,
                    tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
          target_(boost::asio::ip::address_v4::loopback(), target_port)
    {
    }

    unsigned short port() const { return acceptor_.local_endpoint().port(); }

    void accept()
    {
        acceptor_.async_accept(
            [self = shared_from_this()](error_code const& fault,
                                        tcp::socket socket) {
                if (fault)
                {
                    return;
                }
                self->open(std::move(socket));
                self->accept();
            });
    }

    void set(link_mode mode, std::size_t bytes_per_second)
    {
        mode_ = mode;
        bytes_per_second_ = bytes_per_second;
        for (auto const& each : connections_)
        {
            if (auto const open = each.lock())
            {
                open->apply(mode, bytes_per_second);
            }
        }
    }

    void close()
    {
        error_code ignored;
        acceptor_.close(ignored);
        set(link_mode::reset, 0);
    }

private:
    /// A connection accepted from a client and the one to the target that its
    /// bytes are forwarded to.
    class connection : public std::enable_shared_from_this<connection>
    {
    public:
        connection(tcp::socket client, boost::asio::io_context& context,
                   shared_rate& shared)
            : shared_(shared), client_socket_(std::move(client)),
              target_socket_(context), up_timer_(context), down_timer_(context)
        {
        }

        void start(tcp::endpoint const& target, link_mode mode)
        {
            mode_ = mode;
            target_socket_.async_connect(
                target, [self = shared_from_this()](error_code const& fault) {
                    if (fault)
                    {
                        self->close();
                        return;
                    }
                    self->pump(self->client_socket_, self->target_socket_,
                               self->up_, self->up_timer_, true);
                    self->pump(self->target_socket_, self->client_socket_,
                               self->down_, self->down_timer_, false);
                });
        }

        /// `silent` and `one_way` last until the connection closes.
        void apply(link_mode mode, std::size_t bytes_per_second)
        {
            if (mode == link_mode::reset)
            {
                reset();
            }
            silent_ = silent_ || mode == link_mode::silent;
            one_way_ = one_way_ || mode == link_mode::one_way;
            mode_ = mode;
            bytes_per_second_ = bytes_per_second;
        }

    private:
        using buffer = std::array<char, chunk_bytes>;

        /// Reads from one side and forwards or drops, until the connection
        /// closes.
        void pump(tcp::socket& from, tcp::socket& to, buffer& bytes,
                  boost::asio::steady_timer& timer, bool to_target)
        {
            from.async_read_some(
                boost::asio::buffer(bytes),
                [self = shared_from_this(), &from, &to, &bytes, &timer,
                 to_target](error_code const& fault, std::size_t size) {
                    if (fault)
                    {
                        self->close();
                        return;
                    }
                    if (self->silent_ || (self->one_way_ && !to_target))
                    {
                        // The bytes are dropped; the connection stays open.
                        self->pump(from, to, bytes, timer, to_target);
                        return;
                    }
                    timer.expires_after(self->delay_of(size, to_target));
                    timer.async_wait([self, &from, &to, &bytes, &timer,
                                      to_target, size](error_code const&) {
                        self->forward(from, to, bytes, timer, to_target, size);
                    });
                });
        }

        /// Returns how long bytes of a read are kept before they are forwarded.
        std::chrono::microseconds delay_of(std::size_t size,
                                           bool to_target) const
        {
            if (mode_ == link_mode::shared && !to_target)
            {
                return shared_.pass(size, bytes_per_second_);
            }
            if (mode_ == link_mode::slow && !to_target)
            {
                return std::chrono::milliseconds(size * ms_per_second
                                                 / bytes_per_second_);
            }
            return mode_ == link_mode::delay ? added_delay
                                             : std::chrono::milliseconds(0);
        }

        void forward(tcp::socket& from, tcp::socket& to, buffer& bytes,
                     boost::asio::steady_timer& timer, bool to_target,
                     std::size_t size)
        {
            boost::asio::async_write(
                to, boost::asio::buffer(bytes.data(), size),
                [self = shared_from_this(), &from, &to, &bytes, &timer,
                 to_target](error_code const& fault, std::size_t) {
                    if (fault)
                    {
                        self->close();
                        return;
                    }
                    self->pump(from, to, bytes, timer, to_target);
                });
        }

        void close()
        {
            error_code ignored;
            client_socket_.close(ignored);
            target_socket_.close(ignored);
        }

        void reset()
        {
            error_code ignored;
            client_socket_.set_option(boost::asio::socket_base::linger(true, 0),
                                      ignored);
            close();
        }

        shared_rate& shared_;
        tcp::socket client_socket_;
        tcp::socket target_socket_;

        /// Timers and buffers for the bytes to the target (up) and for those
        /// to the client (down).
        boost::asio::steady_timer up_timer_;
        boost::asio::steady_timer down_timer_;
        buffer up_{};
        buffer down_{};
        link_mode mode_ = link_mode::pass;
        std::size_t bytes_per_second_ = 0;
        bool silent_ = false;
        bool one_way_ = false;
    };

    void open(tcp::socket socket)
    {
        std::erase_if(connections_,
                      [](auto const& each) { return each.expired(); });
        auto const added =
            std::make_shared<connection>(std::move(socket), context_, shared_);
        connections_.push_back(added);
        added->start(target_, mode_);
        added->apply(mode_, bytes_per_second_);
    }

    boost::asio::io_context& context_;
    shared_rate& shared_;
    tcp::acceptor acceptor_;
    tcp::endpoint target_;
    link_mode mode_ = link_mode::pass;
    std::size_t bytes_per_second_ = 0;
    std::list<std::weak_ptr<connection>> connections_;
};

proxy::proxy(boost::asio::io_context& context, unsigned short target_port,
             shared_rate& shared)
    : state_(std::make_shared<state>(context, target_port, shared))
{
    state_->accept();
}

proxy::~proxy() { state_->close(); }

unsigned short proxy::port() const { return state_->port(); }

void proxy::set(link_mode mode, std::size_t bytes_per_second)
{
    state_->set(mode, bytes_per_second);
}

} // namespace jaydrift::soak
