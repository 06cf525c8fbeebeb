#ifndef JAYDRIFT_NET_RPC_CONNECTION_HPP
#define JAYDRIFT_NET_RPC_CONNECTION_HPP

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/refcount.h>

namespace jaydrift::net {

/// A TCP connection that carries Cap'n Proto RPC. It owns its stream; whoever
/// still uses the connection holds a reference.
class rpc_connection : public kj::Refcounted
{
public:
    /// Makes the calling side of a connection.
    explicit rpc_connection(kj::Own<kj::AsyncIoStream> stream);

    /// Makes the serving side, which offers `service`.
    rpc_connection(kj::Own<kj::AsyncIoStream> stream,
                   capnp::Capability::Client service);

    /// The service that the other side offers.
    capnp::Capability::Client service();

    /// Resolves when the connection ends.
    kj::Promise<void> disconnected() { return network_.onDisconnect(); }

    /// Bytes that have been queued and not been sent yet.
    std::size_t unsent_bytes() { return network_.getCurrentQueueSize(); }

private:
    kj::Own<kj::AsyncIoStream> stream_;
    capnp::TwoPartyVatNetwork network_;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc_system_;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_RPC_CONNECTION_HPP
