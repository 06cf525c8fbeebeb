#ifndef JAYDRIFT_NET_RPC_FAILURE_HPP
#define JAYDRIFT_NET_RPC_FAILURE_HPP

#include <string>

namespace jaydrift::net {

/// Why a call has no reply.
struct rpc_failure
{
    /// The request did not leave this process; otherwise it may have run.
    bool never_sent = false;
    std::string reason;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_RPC_FAILURE_HPP
