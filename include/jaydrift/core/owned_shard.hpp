#ifndef JAYDRIFT_CORE_OWNED_SHARD_HPP
#define JAYDRIFT_CORE_OWNED_SHARD_HPP

#include <jaydrift/core/shard_id.hpp>

#include <cstdint>

namespace jaydrift {

/// A shard that a daemon serves, with the policy version it applies there.
struct owned_shard
{
    shard_id shard;
    std::uint64_t epoch = 0;
    std::uint64_t policy_version = 0;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_OWNED_SHARD_HPP
