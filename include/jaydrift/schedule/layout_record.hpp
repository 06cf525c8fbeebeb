#ifndef JAYDRIFT_SCHEDULE_LAYOUT_RECORD_HPP
#define JAYDRIFT_SCHEDULE_LAYOUT_RECORD_HPP

#include <cstdint>

namespace jaydrift::schedule {

/// Number of shards, which is fixed when the first daemon starts.
struct layout_record
{
    std::uint32_t shards = 1;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_LAYOUT_RECORD_HPP
