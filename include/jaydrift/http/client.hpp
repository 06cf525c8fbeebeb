#ifndef JAYDRIFT_HTTP_CLIENT_HPP
#define JAYDRIFT_HTTP_CLIENT_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/http/call_result.hpp>
#include <jaydrift/http/request.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace boost::asio {
class io_context;
}

namespace jaydrift::http {

/// HTTP/1.1 client with pools of persistent connections. Runs on the thread of
/// its io_context.
///
/// A pool is named by the address of the server and a name that the caller
/// chooses. Calls in one pool share a few connections and wait for each other;
/// calls in different pools do not.
class client
{
public:
    /// Takes the result of one call.
    using handler = std::function<void(call_result)>;

    /// The io_context must outlive the client.
    explicit client(boost::asio::io_context& context);
    client(client const&) = delete;
    client& operator=(client const&) = delete;
    ~client();

    /// Sends a request to `address` (IP:PORT) in the named pool, which opens at
    /// most `max_connections`; the latest call sets this limit. `done` is
    /// called once, with `lost` or `not_sent` if there is no response after
    /// `time_limit`, and with `not_sent` if the address is not a network
    /// address. Returns the number of the call.
    std::uint64_t call(std::string_view address, std::string_view pool,
                       std::size_t max_connections, request message,
                       time_ms time_limit, handler done);

    /// Ends a call, as its time limit does, if it has a connection and no byte
    /// of its response has arrived for `silence`. Ignored if the call has ended
    /// or waits for a connection.
    void end_if_silent(std::uint64_t call, time_ms silence);

private:
    class state;
    std::shared_ptr<state> state_;
};

} // namespace jaydrift::http

#endif // JAYDRIFT_HTTP_CLIENT_HPP
