#ifndef JAYDRIFT_CORE_OWNERSHIP_TERM_HPP
#define JAYDRIFT_CORE_OWNERSHIP_TERM_HPP

#include <jaydrift/core/shard_id.hpp>

#include <cstdint>
#include <string>

namespace jaydrift {

/// Names the owner of a shard and its epoch; part of every worker request.
struct ownership_term
{
    shard_id shard;
    /// Each new owner of a shard takes a higher epoch. Workers refuse requests
    /// with a lower epoch than the highest that has fenced them.
    std::uint64_t epoch = 0;
    std::string owner;

    /// Generation of the shard's voter set that the sender knows.
    std::uint64_t generation = 0;

    bool operator==(ownership_term const&) const = default;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_OWNERSHIP_TERM_HPP
