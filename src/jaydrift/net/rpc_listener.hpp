#ifndef JAYDRIFT_NET_RPC_LISTENER_HPP
#define JAYDRIFT_NET_RPC_LISTENER_HPP

#include <capnp/capability.h>
#include <kj/async-io.h>

#include <cstddef>

namespace jaydrift::net {

class rpc_loop;

/// Accepts connections for one service, at most `max_connections` at a time.
class rpc_listener
{
public:
    rpc_listener(rpc_loop& loop, kj::Own<kj::ConnectionReceiver> receiver,
                 capnp::Capability::Client service);

    /// Accepts connections until the returned promise is destroyed. The
    /// listener must outlive the promise.
    kj::Promise<void> run();

private:
    /// Serves on `stream`, or closes it if there are too many connections.
    void add_connection(kj::Own<kj::AsyncIoStream> stream);

    rpc_loop& loop_;
    kj::Own<kj::ConnectionReceiver> receiver_;
    capnp::Capability::Client service_;
    std::size_t open_connections_ = 0;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_RPC_LISTENER_HPP
