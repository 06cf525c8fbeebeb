#ifndef JAYDRIFT_SCHEDULE_READ_RECORD_HPP
#define JAYDRIFT_SCHEDULE_READ_RECORD_HPP

#include <jaydrift/schedule/record_key.hpp>

namespace jaydrift::schedule {

/// Request to the store: reads one record.
struct read_record
{
    record_key key;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_READ_RECORD_HPP
