#ifndef JAYDRIFT_CORE_HAND_OVER_REQUEST_HPP
#define JAYDRIFT_CORE_HAND_OVER_REQUEST_HPP

#include <jaydrift/core/request_record.hpp>
#include <jaydrift/core/shard_id.hpp>

#include <cstdint>
#include <vector>

namespace jaydrift {

/// Hands a shard over to another daemon during a planned stop.
struct hand_over_request
{
    shard_id shard;
    std::uint64_t epoch = 0;
    /// What the sender knows about request IDs of the shard.
    std::vector<request_record> records;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_HAND_OVER_REQUEST_HPP
