#ifndef JAYDRIFT_STANDIN_RECORD_EVENT_HPP
#define JAYDRIFT_STANDIN_RECORD_EVENT_HPP

#include <string>

namespace jaydrift::standin {

/// Effect: adds an event to the timeline of the process. Empty fields do not
/// apply to the event.
struct record_event
{
    std::string name;
    std::string request;
    std::string task;
    std::string detail;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_RECORD_EVENT_HPP
