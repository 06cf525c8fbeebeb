#include "rpc_connection.hpp"

#include "rpc_limits.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace jaydrift::net {

namespace {

/// Finds out within about 10 s that the other VM is gone; the system's
/// defaults take hours.
void detect_dead_peer(kj::AsyncIoStream& stream)
{
    auto const set = [&stream](int level, int option, int value) {
        stream.setsockopt(level, option, &value, sizeof value);
    };
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, 4);
    set(IPPROTO_TCP, TCP_KEEPINTVL, 2);
    set(IPPROTO_TCP, TCP_KEEPCNT, 3);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, 10'000);
}

} // namespace

rpc_connection::rpc_connection(kj::Own<kj::AsyncIoStream> stream)
    : stream_(kj::mv(stream)),
      network_(*stream_, capnp::rpc::twoparty::Side::CLIENT, reader_options()),
      system_(capnp::makeRpcClient(network_))
{
    detect_dead_peer(*stream_);
}

rpc_connection::rpc_connection(kj::Own<kj::AsyncIoStream> stream,
                               capnp::Capability::Client service)
    : stream_(kj::mv(stream)),
      network_(*stream_, capnp::rpc::twoparty::Side::SERVER, reader_options()),
      system_(capnp::makeRpcServer(network_, kj::mv(service)))
{
    detect_dead_peer(*stream_);
    system_.setFlowLimit(max_connection_words);
}

capnp::Capability::Client rpc_connection::service()
{
    capnp::MallocMessageBuilder message;
    auto server = message.initRoot<capnp::rpc::twoparty::VatId>();
    server.setSide(capnp::rpc::twoparty::Side::SERVER);
    return system_.bootstrap(server);
}

} // namespace jaydrift::net
