#ifndef JAYDRIFT_SCHEDULE_CANDIDATE_HPP
#define JAYDRIFT_SCHEDULE_CANDIDATE_HPP

#include <jaydrift/schedule/member_state.hpp>

#include <cstdint>
#include <string_view>

namespace jaydrift::schedule {

/// A daemon that may own the shard; `member` is null for this one.
struct candidate
{
    /// Shards that it would own, by its share of a core.
    double load = 0.0;

    /// Other shards that it owns.
    std::uint32_t others = 0;

    /// Separates equal loads, in another way for each shard.
    std::uint64_t order = 0;
    std::string_view node;
    member_state const* member = nullptr;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_CANDIDATE_HPP
