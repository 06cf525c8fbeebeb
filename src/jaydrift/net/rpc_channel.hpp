#ifndef JAYDRIFT_NET_RPC_CHANNEL_HPP
#define JAYDRIFT_NET_RPC_CHANNEL_HPP

#include "rpc_connection.hpp"

#include <kj/timer.h>

#include <cstddef>
#include <string>

namespace jaydrift::net {

class rpc_loop;

/// The connection to one service at one address. It is made when a call needs
/// it and made again after it broke.
class rpc_channel
{
public:
    rpc_channel(rpc_loop& loop, std::string address);

    /// Returns the connection once there is one.
    kj::Promise<kj::Own<rpc_connection>> connect();

    /// Forgets a connection that broke.
    void drop(rpc_connection const& connection);

    /// Calls in flight.
    std::size_t calls = 0;

private:
    kj::Promise<void> open();
    void opened(kj::Own<kj::AsyncIoStream> stream);

    rpc_loop& loop_;
    std::string address_;
    kj::Maybe<kj::Own<rpc_connection>> connection_;
    kj::Maybe<kj::ForkedPromise<void>> opening_;
    bool is_opening_ = false;
    kj::TimePoint retry_at_;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_RPC_CHANNEL_HPP
