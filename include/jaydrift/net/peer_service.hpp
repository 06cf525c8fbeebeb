#ifndef JAYDRIFT_NET_PEER_SERVICE_HPP
#define JAYDRIFT_NET_PEER_SERVICE_HPP

#include <jaydrift/core/peer_reply.hpp>
#include <jaydrift/core/peer_request.hpp>

namespace jaydrift::net::schema {
struct Peer;
}

namespace jaydrift::net {

/// Trait of the schema's RPC interface `Peer`, for `call` and `serve`.
/// Served by each daemon to the other daemons.
struct peer_service
{
    using request = peer_request;
    using reply = peer_reply;
    using interface = schema::Peer;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_PEER_SERVICE_HPP
