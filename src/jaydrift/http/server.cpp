#include <jaydrift/http/server.hpp>

#include "endpoint.hpp"
#include "read_buffer.hpp"

#include <chrono>
#include <list>
#include <optional>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace jaydrift::http {

namespace {

namespace beast_http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;
using steady = std::chrono::steady_clock;

/// Bound the memory that a request can take.
constexpr std::uint32_t max_header_bytes = 16U * 1024U;
constexpr std::uint64_t max_body_bytes = 1U << 20U;

/// Bounds the open connections, which take a file descriptor each; a daemon may
/// have about 4,000 descriptors. A connection beyond it is closed at once.
constexpr std::size_t max_sessions = 3000;

/// Most time to receive a request, counted from the end of the previous one; it
/// is also the longest pause between two requests.
constexpr std::chrono::seconds receive_limit{60};

/// Interval of the checks for connections that exceed `receive_limit`.
constexpr std::chrono::seconds expiry_check_interval{5};

} // namespace

class server::state : public std::enable_shared_from_this<server::state>
{
public:
    state(boost::asio::io_context& context, tcp::endpoint const& address,
          handler serve)
        : context_(context), acceptor_(context), expiry_timer_(context),
          serve_(std::move(serve))
    {
        acceptor_.open(address.protocol());
        acceptor_.set_option(tcp::acceptor::reuse_address(true));
        acceptor_.bind(address);
        acceptor_.listen();
    }

    void start()
    {
        accept();
        schedule_expiry_check();
    }

    unsigned short port() const { return acceptor_.local_endpoint().port(); }

    void close_after_responses() { closing_ = true; }

    void stop()
    {
        stopped_ = true;
        error_code ignored;
        acceptor_.close(ignored);
        expiry_timer_.cancel();
    }

private:
    /// A client's connection; handles one request at a time.
    class session : public std::enable_shared_from_this<session>
    {
    public:
        session(tcp::socket socket, std::shared_ptr<state> server)
            : socket_(std::move(socket)), server_(std::move(server))
        {
        }

        void read()
        {
            parser_.emplace();
            parser_->header_limit(max_header_bytes);
            parser_->body_limit(max_body_bytes);
            reading_since_ = steady::now();
            reserve_for_message(buffer_, boost::none);
            beast_http::async_read_header(
                socket_, buffer_, *parser_,
                [self = shared_from_this()](error_code const& error,
                                            std::size_t) {
                    if (error)
                    {
                        self->received(error);
                        return;
                    }
                    self->read_body();
                });
        }

        /// Closes the connection if a request has not arrived in time.
        void expire(steady::time_point now)
        {
            if (reading_since_ && now - *reading_since_ > receive_limit)
            {
                close();
            }
        }

        void close()
        {
            error_code ignored;
            socket_.close(ignored);
        }

    private:
        void read_body()
        {
            reserve_for_message(buffer_, parser_->content_length_remaining());
            beast_http::async_read(socket_, buffer_, *parser_,
                                   [self = shared_from_this()](
                                       error_code const& error, std::size_t) {
                                       self->received(error);
                                   });
        }

        void received(error_code const& error)
        {
            reading_since_.reset();
            if (error == beast_http::error::body_limit)
            {
                keep_alive_ = false;
                respond({413, {}, {}});
                return;
            }
            if (error)
            {
                server_->remove_session(this);
                return;
            }
            auto message = parser_->release();
            keep_alive_ = message.keep_alive();
            request result;
            result.method = std::string(message.method_string());
            result.target = std::string(message.target());
            for (auto const& field : message)
            {
                result.headers.emplace_back(std::string(field.name_string()),
                                            std::string(field.value()));
            }
            result.host = std::string(message[beast_http::field::host]);
            result.body = std::move(message.body());
            server_->serve_(std::move(result),
                            [self = shared_from_this()](response reply) {
                                self->respond(std::move(reply));
                            });
        }

        void respond(response reply)
        {
            keep_alive_ = keep_alive_ && !server_->closing_;
            response_ = {};
            response_.version(11);
            response_.result(reply.status);
            response_.keep_alive(keep_alive_);
            for (auto const& [name, value] : reply.headers)
            {
                response_.set(name, value);
            }
            response_.body() = std::move(reply.body);
            response_.prepare_payload();
            beast_http::async_write(
                socket_, response_,
                [self = shared_from_this()](error_code const& error,
                                            std::size_t) {
                    if (error || !self->keep_alive_)
                    {
                        error_code ignored;
                        self->socket_.shutdown(tcp::socket::shutdown_send,
                                               ignored);
                        self->server_->remove_session(self.get());
                        return;
                    }
                    self->read();
                });
        }

        tcp::socket socket_;
        std::shared_ptr<state> server_;
        boost::beast::flat_buffer buffer_;
        std::optional<beast_http::request_parser<beast_http::string_body>>
            parser_;
        beast_http::response<beast_http::string_body> response_;
        /// Absent while a request is being handled.
        std::optional<steady::time_point> reading_since_;
        bool keep_alive_ = true;
    };

    void accept()
    {
        acceptor_.async_accept(
            [self = shared_from_this()](error_code const& error,
                                        tcp::socket socket) {
                if (self->stopped_)
                {
                    return;
                }
                if (!error && self->sessions_.size() < max_sessions)
                {
                    error_code ignored;
                    socket.set_option(tcp::no_delay(true), ignored);
                    auto const added =
                        std::make_shared<session>(std::move(socket), self);
                    self->sessions_.push_back(added);
                    added->read();
                }
                self->accept();
            });
    }

    void remove_session(session const* ended)
    {
        sessions_.remove_if(
            [ended](auto const& each) { return each.get() == ended; });
    }

    void schedule_expiry_check()
    {
        expiry_timer_.expires_after(expiry_check_interval);
        expiry_timer_.async_wait(
            [self = shared_from_this()](error_code const& error) {
                if (error || self->stopped_)
                {
                    return;
                }
                for (auto const& each : self->sessions_)
                {
                    each->expire(steady::now());
                }
                self->schedule_expiry_check();
            });
    }

    boost::asio::io_context& context_;
    tcp::acceptor acceptor_;
    boost::asio::steady_timer expiry_timer_;
    handler serve_;
    std::list<std::shared_ptr<session>> sessions_;
    bool closing_ = false;
    bool stopped_ = false;
};

server::server(boost::asio::io_context& context, std::string_view address,
               handler serve)
    : state_(std::make_shared<state>(
        context, local_endpoint<tcp::endpoint>(address), std::move(serve)))
{
    state_->start();
}

server::~server() { state_->stop(); }

unsigned short server::port() const { return state_->port(); }

void server::close_after_responses() { state_->close_after_responses(); }

} // namespace jaydrift::http
