#ifndef JAYDRIFT_NET_RPC_FAILURE_HPP
#define JAYDRIFT_NET_RPC_FAILURE_HPP

#include <string>

namespace jaydrift::net {

/// Why a call has no reply.
struct rpc_failure
{
    /// True if the request did not leave this process, so it cannot have run;
    /// false if it may have run.
    bool never_sent = false;
    /// Explanation for logs and operators; not meant to be parsed.
    std::string reason;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_RPC_FAILURE_HPP
