#include "connection.hpp"

#include "read_buffer.hpp"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <sys/socket.h>

namespace jaydrift::http {

namespace beast_http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Bounds the memory that a response of a server can take.
constexpr std::uint64_t max_body_bytes = 1U << 24U;

} // namespace

connection::connection(boost::asio::io_context& context,
                       boost::asio::ip::tcp::endpoint server,
                       finish_handler on_finish)
    : socket_(context), server_(std::move(server)),
      on_finish_(std::move(on_finish))
{
}

void connection::start(pending_call call)
{
    call_ = std::move(call);
    message_ = {};
    message_.method_string(call_->message.method);
    message_.target(call_->message.target);
    message_.version(11);
    message_.set(beast_http::field::host, call_->message.host);
    for (auto const& [name, value] : call_->message.headers)
    {
        message_.set(name, value);
    }
    message_.body() = std::move(call_->message.body);
    message_.prepare_payload();
    write_started_ = false;
    parser_.reset();
    header_at_.reset();
    heard_at_ = std::chrono::steady_clock::now();
    heard_bytes_ = 0;
    if (connected_ && closed_by_server())
    {
        error_code ignored;
        socket_.close(ignored);
        connected_ = false;
    }
    if (connected_)
    {
        write();
    }
    else
    {
        connect();
    }
}

bool connection::closed_by_server()
{
    // A socket that the peer has closed is readable.
    char byte = 0;
    auto const received =
        ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void connection::connect()
{
    buffer_.clear();
    socket_.async_connect(server_, [self = shared_from_this()](
                                       error_code const& error) {
        if (error || self->closed_)
        {
            self->fail();
            return;
        }
        error_code ignored;
        self->socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        self->connected_ = true;
        self->write();
    });
}

void connection::write()
{
    write_started_ = true;
    sent_at_ = std::chrono::steady_clock::now();
    beast_http::async_write(
        socket_, message_,
        [self = shared_from_this()](error_code const& error, std::size_t) {
            if (error || self->closed_)
            {
                self->fail();
                return;
            }
            self->read_header();
        });
}

void connection::read_header()
{
    parser_.emplace();
    parser_->body_limit(max_body_bytes);
    reserve_for_message(buffer_, boost::none);
    beast_http::async_read_header(
        socket_, buffer_, *parser_,
        [self = shared_from_this()](error_code const& error, std::size_t) {
            if (error || self->closed_)
            {
                self->fail();
                return;
            }
            self->header_at_ = std::chrono::steady_clock::now();
            self->heard_at_ = *self->header_at_;
            self->read_body();
        });
}

void connection::read_body()
{
    reserve_for_message(buffer_, parser_->content_length_remaining());
    beast_http::async_read(
        socket_, buffer_, *parser_,
        [self = shared_from_this()](error_code const& error, std::size_t) {
            if (error || self->closed_)
            {
                self->fail();
                return;
            }
            self->take_response();
        });
}

void connection::take_response()
{
    call_result result;
    result.outcome = call_result::outcome_kind::answered;
    result.progress = progress();
    auto message = parser_->release();
    result.reply.status = message.result_int();
    for (auto const& field : message)
    {
        result.reply.headers.emplace_back(std::string(field.name_string()),
                                          std::string(field.value()));
    }
    auto const keep_alive = message.keep_alive();
    result.reply.body = std::move(message.body());
    finish(std::move(result), keep_alive);
}

reply_progress connection::progress() const
{
    reply_progress result;
    if (header_at_)
    {
        result.header_after =
            time_ms(std::chrono::duration_cast<std::chrono::milliseconds>(
                        *header_at_ - sent_at_)
                        .count());
        result.received_bytes = parser_->get().body().size();
        if (auto const length = parser_->content_length())
        {
            result.length_bytes = *length;
        }
    }
    return result;
}

void connection::finish(call_result result, bool keep_alive)
{
    if (!keep_alive)
    {
        closed_ = true;
        error_code ignored;
        socket_.close(ignored);
    }
    auto call = std::move(call_);
    call_.reset();
    if (call)
    {
        call->done(std::move(result));
    }
    on_finish_(*this);
}

void connection::fail()
{
    if (closed_ && !call_)
    {
        return;
    }
    call_result result;
    result.outcome = write_started_ ? call_result::outcome_kind::lost
                                    : call_result::outcome_kind::not_sent;
    result.progress = progress();
    finish(std::move(result), false);
}

void connection::expire(std::chrono::steady_clock::time_point now)
{
    if (!call_)
    {
        return;
    }
    note_progress(now);
    if (now >= call_->deadline)
    {
        fail();
    }
}

void connection::end_if_silent(std::uint64_t number,
                               std::chrono::milliseconds silence)
{
    if (!call_ || call_->number != number)
    {
        return;
    }
    auto const now = std::chrono::steady_clock::now();
    note_progress(now);
    if (now - heard_at_ >= silence)
    {
        fail();
    }
}

void connection::note_progress(std::chrono::steady_clock::time_point now)
{
    auto const received = progress().received_bytes;
    if (received > heard_bytes_)
    {
        heard_bytes_ = received;
        heard_at_ = now;
    }
}

} // namespace jaydrift::http
