#ifndef JAYDRIFT_SCHEDULE_SERIAL_RECORD_HPP
#define JAYDRIFT_SCHEDULE_SERIAL_RECORD_HPP

#include <cstdint>

namespace jaydrift::schedule {

/// Record of the number of the last transaction of the record log of a shard.
struct serial_record
{
    std::uint64_t value = 0;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_SERIAL_RECORD_HPP
