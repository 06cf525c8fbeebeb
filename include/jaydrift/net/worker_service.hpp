#ifndef JAYDRIFT_NET_WORKER_SERVICE_HPP
#define JAYDRIFT_NET_WORKER_SERVICE_HPP

#include <jaydrift/core/worker_reply.hpp>
#include <jaydrift/core/worker_request.hpp>

namespace jaydrift::net::schema {
struct Worker;
}

namespace jaydrift::net {

/// Trait of the schema's RPC interface `Worker`, for `call` and `serve`.
/// Served by each worker to daemons.
struct worker_service
{
    using request = worker_request;
    using reply = worker_reply;
    using interface = schema::Worker;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_WORKER_SERVICE_HPP
