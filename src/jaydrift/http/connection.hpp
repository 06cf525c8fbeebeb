#ifndef JAYDRIFT_HTTP_CONNECTION_HPP
#define JAYDRIFT_HTTP_CONNECTION_HPP

#include <jaydrift/http/client.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace jaydrift::http {

/// A call that waits for a connection or for its response.
struct pending_call
{
    /// As returned by `client::call`.
    std::uint64_t number = 0;
    request message;
    std::chrono::steady_clock::time_point deadline;
    client::handler done;
};

/// One connection of a client; carries one call at a time.
class connection : public std::enable_shared_from_this<connection>
{
public:
    using finish_handler = std::function<void(connection&)>;

    /// `on_finish` is called after each call, when the connection can take
    /// another one or has closed.
    connection(boost::asio::io_context& context,
               boost::asio::ip::tcp::endpoint server, finish_handler on_finish);

    /// Starts a call; connects first if there is no open connection.
    ///
    /// @pre `idle()`
    void start(pending_call call);

    /// Ends the call in progress if its deadline has passed.
    void expire(std::chrono::steady_clock::time_point now);

    /// Ends the call with this number, if it is the one in progress and no byte
    /// of its response has arrived for `silence`.
    void end_if_silent(std::uint64_t number, std::chrono::milliseconds silence);

    /// Tells whether the connection can take a call; it need not be open yet.
    bool idle() const { return !call_ && !closed_; }
    bool closed() const { return closed_; }

private:
    using response_parser =
        boost::beast::http::response_parser<boost::beast::http::string_body>;

    void connect();
    void write();
    void read_header();
    void read_body();
    void take_response();
    /// Hands over the result; closes the socket unless it can be used again.
    void finish(call_result result, bool keep_alive);
    /// Ends the call as `lost`, or as `not_sent` if sending had not begun.
    void fail();
    /// Tells how much of the response to the latest call has arrived.
    reply_progress progress() const;
    /// Records whether bytes of the response have arrived since the last time.
    void note_progress(std::chrono::steady_clock::time_point now);
    /// Tells whether the server has closed the open connection, or has sent
    /// bytes that belong to no call.
    bool closed_by_server();

    boost::asio::ip::tcp::socket socket_;
    boost::asio::ip::tcp::endpoint server_;
    finish_handler on_finish_;
    boost::beast::flat_buffer buffer_;
    boost::beast::http::request<boost::beast::http::string_body> message_;
    std::optional<response_parser> parser_;
    std::optional<pending_call> call_;
    std::chrono::steady_clock::time_point sent_at_;
    std::optional<std::chrono::steady_clock::time_point> header_at_;
    /// When the call in progress began, or when it was last noticed that bytes
    /// of its response had arrived, and how many there were then.
    std::chrono::steady_clock::time_point heard_at_;
    std::uint64_t heard_bytes_ = 0;
    bool connected_ = false;
    /// Part of the request of the latest call may have been sent.
    bool write_started_ = false;
    bool closed_ = false;
};

} // namespace jaydrift::http

#endif // JAYDRIFT_HTTP_CONNECTION_HPP
