#ifndef JAYDRIFT_NET_RPC_LISTENER_HPP
#define JAYDRIFT_NET_RPC_LISTENER_HPP

#include <capnp/capability.h>
#include <kj/async-io.h>

#include <cstddef>

namespace jaydrift::net {

class rpc_loop;

/// Accepts connections for one service.
class rpc_listener
{
public:
    rpc_listener(rpc_loop& loop, kj::Own<kj::ConnectionReceiver> receiver,
                 capnp::Capability::Client service);

    /// Accepts until it is dropped.
    kj::Promise<void> run();

private:
    void accepted(kj::Own<kj::AsyncIoStream> stream);

    rpc_loop& loop_;
    kj::Own<kj::ConnectionReceiver> receiver_;
    capnp::Capability::Client service_;
    std::size_t connections_ = 0;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_RPC_LISTENER_HPP
