#ifndef JAYDRIFT_DECIDE_RECORD_EVENT_HPP
#define JAYDRIFT_DECIDE_RECORD_EVENT_HPP

#include <string>

namespace jaydrift::decide {

/// Adds an event to the process's timeline.
struct record_event
{
    std::string name;

    /// Request ID, task ID and details for people; each may be empty.
    std::string request;
    std::string task;
    std::string detail;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_RECORD_EVENT_HPP
