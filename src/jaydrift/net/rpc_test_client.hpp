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

/// Clients and servers for the tests of RPC.
namespace jaydrift::net {

using namespace literals;

template<class Service>
using result_of = rpc_result<typename Service::reply>;
using store_result = result_of<store_service>;
using store_responder = responder<store_reply>;

inline std::string const any_port = "127.0.0.1:0";

inline std::string local(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

/// Starts a call and returns its result when there is one.
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

inline std::future<store_result> read_key(rpc_thread& thread,
                                          std::string address, std::string key,
                                          time_ms timeout = 60000_ms)
{
    return start_call<store_service>(thread, std::move(address),
                                     read_request{std::move(key)}, timeout);
}

inline std::string key_of(store_request const& request)
{
    return std::get<read_request>(request).prefix;
}

/// Answers with the revision 7.
inline void answer_seven(store_responder const& answer)
{
    store_reply reply;
    reply.revision = 7;
    answer(reply);
}

inline std::uint16_t serve_seven(rpc_thread& thread, std::string const& address)
{
    return serve<store_service>(
        thread, address,
        [](store_request const&, auto const& answer) { answer_seven(answer); });
}

inline std::uint64_t revision_of(store_result const& result)
{
    return std::get<store_reply>(result).revision;
}

inline bool never_sent(store_result const& result)
{
    return std::get<rpc_failure>(result).never_sent;
}

/// A TCP socket with an address; it refuses connections until it listens, and
/// then it never answers.
class mute_socket
{
public:
    explicit mute_socket(bool listening) : fd_(socket(AF_INET, SOCK_STREAM, 0))
    {
        auto any = parse_endpoint(any_port);
        auto* const address = reinterpret_cast<sockaddr*>(&any.address);
        if (bind(fd_, address, any.size) != 0
            || (listening && listen(fd_, 16) != 0)
            || getsockname(fd_, address, &any.size) != 0)
        {
            throw net_error("cannot bind");
        }
        port_ = ntohs(reinterpret_cast<sockaddr_in*>(address)->sin_port);
    }
    mute_socket(mute_socket const&) = delete;
    mute_socket& operator=(mute_socket const&) = delete;
    ~mute_socket() { close(fd_); }

    std::string address() const { return local(port_); }

private:
    int fd_;
    std::uint16_t port_ = 0;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_RPC_TEST_CLIENT_HPP
