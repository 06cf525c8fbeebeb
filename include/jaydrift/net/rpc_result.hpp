#ifndef JAYDRIFT_NET_RPC_RESULT_HPP
#define JAYDRIFT_NET_RPC_RESULT_HPP

#include <jaydrift/net/rpc_failure.hpp>

#include <variant>

namespace jaydrift::net {

/// The reply to an RPC call, or the response to `http_post`, or the reason why
/// there is none.
template<class Reply>
using rpc_result = std::variant<Reply, rpc_failure>;

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_RPC_RESULT_HPP
