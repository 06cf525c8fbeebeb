#ifndef JAYDRIFT_STANDIN_SHARD_TERM_HPP
#define JAYDRIFT_STANDIN_SHARD_TERM_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <string>

namespace jaydrift::standin {

/// What a worker keeps about the ownership of a shard.
struct shard_term
{
    /// Highest epoch that fenced the worker, with its owner.
    std::uint64_t epoch = 0;
    std::string owner;
    /// Highest generation of the voter set that an owner named.
    std::uint64_t generation = 0;
    /// End of the lease, in the worker's clock.
    time_ms lease_until;
    bool lease_runs = false;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_SHARD_TERM_HPP
