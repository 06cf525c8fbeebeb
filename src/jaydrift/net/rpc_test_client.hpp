#ifndef JAYDRIFT_NET_RPC_TEST_CLIENT_HPP
#define JAYDRIFT_NET_RPC_TEST_CLIENT_HPP

#include "endpoint.hpp"

#include <jaydrift/net/net_error.hpp>
#include <jaydrift/net/rpc_client.hpp>
#include <jaydrift/net/rpc_server.hpp>
#include <jaydrift/net/rpc_thread.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <unistd.h>

#include <future>
#include <memory>
#include <string>
#include <utility>
#include <variant>

/// Clients and servers for the RPC tests.
namespace jaydrift::net {

using namespace literals;

template<class Service>
using result_of = rpc_result<typename Service::reply>;
using store_result = result_of<store_service>;
using store_responder = responder<store_reply>;

/// Bind address on which the kernel chooses the port.
inline std::string const any_port = "127.0.0.1:0";

inline std::string local_address(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

/// Starts a call and returns the future of its result.
template<class Service>
std::future<result_of<Service>>
start_call(rpc_thread& thread, std::string address,
           typename Service::request request, time_ms timeout = 60000_ms)
{
    auto const promise = std::make_shared<std::promise<result_of<Service>>>();
    call<Service>(thread, std::move(address), std::move(request), timeout,
                  [promise](result_of<Service> result) {
                      promise->set_value(std::move(result));
                  });
    return promise->get_future();
}

/// Starts a call that reads `key` from the store at `address`.
inline std::future<store_result> read_key(rpc_thread& thread,
                                          std::string address, std::string key,
                                          time_ms timeout = 60000_ms)
{
    return start_call<store_service>(thread, std::move(address),
                                     read_request{std::move(key)}, timeout);
}

/// The key of a request that `read_key` sent.
inline std::string key_of(store_request const& request)
{
    return std::get<read_request>(request).prefix;
}

inline void respond_with_revision_7(store_responder const& respond)
{
    store_reply reply;
    reply.revision = 7;
    respond(reply);
}

/// Serves a store that replies with revision 7 to each request; returns the
/// port.
inline std::uint16_t serve_revision_7(rpc_thread& thread,
                                      std::string const& address)
{
    return serve<store_service>(thread, address,
                                [](store_request const&, auto const& respond) {
                                    respond_with_revision_7(respond);
                                });
}

inline std::uint64_t revision_of(store_result const& result)
{
    return std::get<store_reply>(result).revision;
}

/// Whether a call failed before its request was sent; throws if it did not
/// fail.
inline bool never_sent(store_result const& result)
{
    return std::get<rpc_failure>(result).never_sent;
}

/// A TCP socket bound to a port of this host. If it listens, the kernel accepts
/// connections, but nothing is ever read or answered; otherwise connections are
/// refused.
class unresponsive_socket
{
public:
    explicit unresponsive_socket(bool listening)
        : fd_(socket(AF_INET, SOCK_STREAM, 0))
    {
        auto any = parse_endpoint(any_port);
        auto* const address = reinterpret_cast<sockaddr*>(&any.address);
        if (bind(fd_, address, any.address_size) != 0
            || (listening && listen(fd_, 16) != 0)
            || getsockname(fd_, address, &any.address_size) != 0)
        {
            throw net_error("cannot bind a test socket to 127.0.0.1");
        }
        port_ = ntohs(reinterpret_cast<sockaddr_in*>(address)->sin_port);
    }
    unresponsive_socket(unresponsive_socket const&) = delete;
    unresponsive_socket& operator=(unresponsive_socket const&) = delete;
    ~unresponsive_socket() { close(fd_); }

    std::string address() const { return local_address(port_); }

private:
    int fd_;
    std::uint16_t port_ = 0;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_RPC_TEST_CLIENT_HPP
