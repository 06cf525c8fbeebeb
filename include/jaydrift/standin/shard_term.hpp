#ifndef JAYDRIFT_STANDIN_SHARD_TERM_HPP
#define JAYDRIFT_STANDIN_SHARD_TERM_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <string>

namespace jaydrift::standin {

/// A worker's record of the ownership of a shard.
struct shard_term
{
    /// Highest epoch with which the worker was fenced, and its owner.
    std::uint64_t epoch = 0;
    std::string owner;
    /// Highest generation of the voter set that an owner sent.
    std::uint64_t generation = 0;
    /// End of the lease by the worker's clock.
    time_ms lease_until;
    /// False before the first renewal and after the lease has expired.
    bool lease_active = false;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_SHARD_TERM_HPP
