#ifndef JAYDRIFT_NET_RPC_CHANNEL_HPP
#define JAYDRIFT_NET_RPC_CHANNEL_HPP

#include "rpc_connection.hpp"

#include <kj/timer.h>

#include <cstddef>
#include <string>

namespace jaydrift::net {

class rpc_loop;

/// The client's connection to one service at one address, which all calls to it
/// share. It is opened when a call needs it and opened again after it broke.
/// Used on the RPC thread only.
class rpc_channel
{
public:
    /// @throws net_error if the address is not of the form `ip:port`.
    rpc_channel(rpc_loop& loop, std::string const& address);

    /// Returns the open connection, or opens one. The promise fails if the
    /// attempt to connect fails or takes longer than one second.
    kj::Promise<kj::Own<rpc_connection>> connect();

    /// Gives up a connection that broke, so that the next call opens another;
    /// does nothing if `connection` has been replaced.
    void discard(rpc_connection const& connection);

    std::size_t calls_in_flight = 0;

private:
    /// Connects, but not before `next_attempt_at_`.
    kj::Promise<void> open();
    /// Makes `stream` the current connection and watches for its end.
    void set_connection(kj::Own<kj::AsyncIoStream> stream);

    rpc_loop& loop_;
    kj::Own<kj::NetworkAddress> address_;
    kj::Maybe<kj::Own<rpc_connection>> connection_;
    kj::Maybe<kj::ForkedPromise<void>> opening_;
    bool is_opening_ = false;
    kj::TimePoint next_attempt_at_;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_RPC_CHANNEL_HPP
