#include "rpc_connection.hpp"

#include "rpc_limits.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace jaydrift::net {

namespace {

/// TCP keep-alive: a probe after 4 s without traffic, then one every 2 s; the
/// connection breaks after 3 probes without an answer, so after 10 s.
constexpr int keepalive_idle_s = 4;
constexpr int keepalive_interval_s = 2;
constexpr int keepalive_probes = 3;

/// Longest time that sent data may stay unacknowledged.
constexpr int unacknowledged_timeout_ms = 10'000;

/// Makes the connection break within about 10 s after the peer's VM is gone;
/// with the system's defaults, that takes hours.
void detect_dead_peer(kj::AsyncIoStream& stream)
{
    auto const set_option = [&stream](int level, int option, int value) {
        stream.setsockopt(level, option, &value, sizeof value);
    };
    set_option(SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
    set_option(IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
    set_option(IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
    set_option(IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_timeout_ms);
}

} // namespace

rpc_connection::rpc_connection(kj::Own<kj::AsyncIoStream> stream)
    : stream_(kj::mv(stream)),
      network_(*stream_, capnp::rpc::twoparty::Side::CLIENT, reader_options()),
      rpc_system_(capnp::makeRpcClient(network_))
{
    detect_dead_peer(*stream_);
}

rpc_connection::rpc_connection(kj::Own<kj::AsyncIoStream> stream,
                               capnp::Capability::Client service)
    : stream_(kj::mv(stream)),
      network_(*stream_, capnp::rpc::twoparty::Side::SERVER, reader_options()),
      rpc_system_(capnp::makeRpcServer(network_, kj::mv(service)))
{
    detect_dead_peer(*stream_);
    rpc_system_.setFlowLimit(max_connection_call_words);
}

capnp::Capability::Client rpc_connection::service()
{
    capnp::MallocMessageBuilder message;
    auto server = message.initRoot<capnp::rpc::twoparty::VatId>();
    server.setSide(capnp::rpc::twoparty::Side::SERVER);
    return rpc_system_.bootstrap(server);
}

} // namespace jaydrift::net
