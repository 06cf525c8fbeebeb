#ifndef JAYDRIFT_SCHEDULE_CANDIDATE_HPP
#define JAYDRIFT_SCHEDULE_CANDIDATE_HPP

#include <jaydrift/schedule/member_state.hpp>

#include <cstdint>
#include <string_view>

namespace jaydrift::schedule {

/// A daemon that may become the owner of a shard.
struct candidate
{
    /// Number of shards that it would own, divided by its share of a core. The
    /// work in these shards does not count.
    double load = 0.0;

    /// Number of other shards that it owns.
    std::uint32_t other_shards = 0;

    /// Orders candidates of equal load; differs from shard to shard.
    std::uint64_t tie_breaker = 0;
    std::string_view node;

    /// Null for this daemon. Points into `daemon_state::members`.
    member_state const* member = nullptr;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_CANDIDATE_HPP
