#ifndef JAYDRIFT_NET_STORE_SERVICE_HPP
#define JAYDRIFT_NET_STORE_SERVICE_HPP

#include <jaydrift/core/store_reply.hpp>
#include <jaydrift/core/store_request.hpp>

namespace jaydrift::net::schema {
struct Store;
}

namespace jaydrift::net {

/// Trait of the schema's RPC interface `Store`, for `call` and `serve`.
/// Served by the stand-in for the platform's key-value store and VM list.
struct store_service
{
    using request = store_request;
    using reply = store_reply;
    using interface = schema::Store;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_STORE_SERVICE_HPP
