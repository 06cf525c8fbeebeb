#ifndef JAYDRIFT_SCHEDULE_UNREADABLE_RECORD_HPP
#define JAYDRIFT_SCHEDULE_UNREADABLE_RECORD_HPP

#include <string>

namespace jaydrift::schedule {

/// A record that could not be decoded.
struct unreadable_record
{
    /// What is wrong with it, for the log.
    std::string reason;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_UNREADABLE_RECORD_HPP
