#ifndef JAYDRIFT_SCHEDULE_RELOCATION_STATE_HPP
#define JAYDRIFT_SCHEDULE_RELOCATION_STATE_HPP

#include <jaydrift/schedule/relocation_record.hpp>

#include <cstdint>
#include <vector>

namespace jaydrift::schedule {

/// A relocation as the owner of the first shard sees it.
struct relocation_state
{
    relocation_record record;
    bool stored = false;

    /// Calls that go on to the second shard once the record is stored.
    std::vector<std::uint64_t> waiters;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_RELOCATION_STATE_HPP
