#ifndef JAYDRIFT_DECIDE_SHARD_VIEW_HPP
#define JAYDRIFT_DECIDE_SHARD_VIEW_HPP

#include <jaydrift/core/shard_record.hpp>
#include <jaydrift/decide/record_write.hpp>
#include <jaydrift/decide/term_state.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace jaydrift::decide {

/// What this daemon knows about one shard, and its own term and record write.
struct shard_view
{
    shard_id shard;

    /// The record as last seen in the store; revision 0 means none.
    shard_record record;
    std::uint64_t revision = 0;

    /// Highest epoch known from records, workers and other daemons.
    std::uint64_t highest_epoch = 0;

    /// Daemon that this one handed the shard to, until a newer record or
    /// takeover; empty if none.
    std::string expected_owner;

    /// Since when no live daemon has reported that it owns the shard.
    std::optional<time_ms> unserved_since;

    /// Daemon that ranks better than this one for the shard, and since when.
    std::optional<time_ms> better_owner_since;
    std::string better_owner;

    /// No takeover before this time.
    time_ms retry_at;

    /// How often in a row another daemon took the shard from this one; doubles
    /// the wait before the next takeover.
    std::uint32_t superseded_count = 0;

    /// This daemon's term, if it is the owner or a candidate.
    std::optional<term_state> own_term;

    /// Unfinished write of the shard's record.
    std::optional<record_write> write;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_SHARD_VIEW_HPP
