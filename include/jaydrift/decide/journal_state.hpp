#ifndef JAYDRIFT_DECIDE_JOURNAL_STATE_HPP
#define JAYDRIFT_DECIDE_JOURNAL_STATE_HPP

#include <jaydrift/core/shard_id.hpp>
#include <jaydrift/decide/shard_journal.hpp>

#include <cstdint>
#include <map>

namespace jaydrift::decide {

/// State of the journals of all shards that this daemon owns.
struct journal_state
{
    std::map<shard_id, shard_journal> shards;

    /// Shards of the store calls in flight, by correlation number.
    std::map<std::uint64_t, shard_id> calls;

    /// Record sequence numbers never repeat, also across shards and reloads.
    std::uint64_t last_sequence = 0;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_JOURNAL_STATE_HPP
