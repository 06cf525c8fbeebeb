#ifndef JAYDRIFT_SCHEDULE_ZONE_CLOSURE_HPP
#define JAYDRIFT_SCHEDULE_ZONE_CLOSURE_HPP

#include <string>

namespace jaydrift::schedule {

/// Record of the operators: an owner that has seen it starts no task in the
/// availability zone until it sees that the record is gone. Tasks that run
/// there are not stopped.
struct zone_closure
{
    std::string zone;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_ZONE_CLOSURE_HPP
