#ifndef JAYDRIFT_SCHEDULE_STOP_REQUESTED_HPP
#define JAYDRIFT_SCHEDULE_STOP_REQUESTED_HPP

namespace jaydrift::schedule {

/// Event: the process has been asked to stop gracefully.
struct stop_requested
{
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_STOP_REQUESTED_HPP
