#ifndef JAYDRIFT_NET_RPC_CONNECTION_HPP
#define JAYDRIFT_NET_RPC_CONNECTION_HPP

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/refcount.h>

namespace jaydrift::net {

/// A TCP connection with Cap'n Proto RPC on it.
class rpc_connection : public kj::Refcounted
{
public:
    /// The calling side.
    explicit rpc_connection(kj::Own<kj::AsyncIoStream> stream);

    /// The serving side, which offers `service`.
    rpc_connection(kj::Own<kj::AsyncIoStream> stream,
                   capnp::Capability::Client service);

    /// The service that the other side offers.
    capnp::Capability::Client service();

    kj::Promise<void> disconnected() { return network_.onDisconnect(); }

    /// Bytes that wait to be sent.
    std::size_t backlog() { return network_.getCurrentQueueSize(); }

private:
    kj::Own<kj::AsyncIoStream> stream_;
    capnp::TwoPartyVatNetwork network_;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system_;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_RPC_CONNECTION_HPP
