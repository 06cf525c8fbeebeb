#ifndef JAYDRIFT_CORE_RENEW_REQUEST_HPP
#define JAYDRIFT_CORE_RENEW_REQUEST_HPP

#include <jaydrift/core/ownership_term.hpp>
#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace jaydrift {

/// Extends a shard's lease on a worker.
struct renew_request
{
    ownership_term term;

    /// End of the lease, in the worker's clock.
    time_ms lease_until;

    /// Policy version that the owner applies; the worker keeps the highest.
    std::uint64_t policy_version = 0;

    /// Tasks whose end is durable, so that the worker may forget them.
    std::vector<std::string> acknowledged;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_RENEW_REQUEST_HPP
