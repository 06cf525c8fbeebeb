#ifndef JAYDRIFT_SCHEDULE_RELOCATION_STATE_HPP
#define JAYDRIFT_SCHEDULE_RELOCATION_STATE_HPP

#include <jaydrift/schedule/relocation_record.hpp>

#include <cstdint>
#include <vector>

namespace jaydrift::schedule {

/// A relocation, kept by the owner of the first shard.
struct relocation_state
{
    relocation_record record;

    /// The record is in the store.
    bool stored = false;

    /// Calls to pass on to the second shard once the record is stored.
    std::vector<std::uint64_t> waiters;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_RELOCATION_STATE_HPP
