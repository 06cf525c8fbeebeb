#ifndef JAYDRIFT_CORE_SHARD_STATUS_HPP
#define JAYDRIFT_CORE_SHARD_STATUS_HPP

#include <jaydrift/core/shard_id.hpp>

#include <cstdint>
#include <string>

namespace jaydrift {

/// What a daemon knows about a shard.
struct shard_status
{
    shard_id shard;
    std::uint64_t epoch = 0;
    std::string owner;

    /// Such as `serving`, `fencing` or `other`.
    std::string state;
    std::uint32_t workers = 0;
    std::uint32_t running_urgent = 0;
    std::uint32_t running_batch = 0;
    std::uint32_t waiting_batch = 0;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_SHARD_STATUS_HPP
