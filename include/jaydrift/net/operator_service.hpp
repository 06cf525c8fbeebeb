#ifndef JAYDRIFT_NET_OPERATOR_SERVICE_HPP
#define JAYDRIFT_NET_OPERATOR_SERVICE_HPP

#include <jaydrift/core/operator_reply.hpp>
#include <jaydrift/core/operator_request.hpp>

namespace jaydrift::net::schema {
struct Operator;
}

namespace jaydrift::net {

/// Trait of the schema's RPC interface `Operator`, for `call` and `serve`.
/// Served by each daemon to operators.
struct operator_service
{
    using request = operator_request;
    using reply = operator_reply;
    using interface = schema::Operator;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_OPERATOR_SERVICE_HPP
