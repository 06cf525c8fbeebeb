#ifndef JAYDRIFT_SCHEDULE_LAYOUT_RECORD_HPP
#define JAYDRIFT_SCHEDULE_LAYOUT_RECORD_HPP

#include <cstdint>

namespace jaydrift::schedule {

/// Record of the number of shards. It is written once, when the first daemons
/// start, and never changes.
struct layout_record
{
    std::uint32_t shards = 1;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_LAYOUT_RECORD_HPP
