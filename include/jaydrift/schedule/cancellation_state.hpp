#ifndef JAYDRIFT_SCHEDULE_CANCELLATION_STATE_HPP
#define JAYDRIFT_SCHEDULE_CANCELLATION_STATE_HPP

#include <jaydrift/schedule/cancellation_record.hpp>

#include <cstdint>
#include <vector>

namespace jaydrift::schedule {

/// The cancel of an unknown ID, kept by the owner of a shard.
struct cancellation_state
{
    cancellation_record record;

    /// The record is in the store.
    bool stored = false;

    /// Calls that go on once the record is stored.
    std::vector<std::uint64_t> waiters;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_CANCELLATION_STATE_HPP
