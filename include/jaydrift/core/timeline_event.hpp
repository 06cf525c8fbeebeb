#ifndef JAYDRIFT_CORE_TIMELINE_EVENT_HPP
#define JAYDRIFT_CORE_TIMELINE_EVENT_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <string>

namespace jaydrift {

/// Something that happened in a process, for the timeline merged from all
/// processes.
struct timeline_event
{
    /// Wall clock time of the process.
    time_ms at;
    /// Counts the events of the process, from 1.
    std::uint64_t sequence = 0;
    std::string process;

    /// What happened, such as `request_started`.
    std::string name;
    /// IDs; empty if the event is not about a request or a task.
    std::string request;
    std::string task;
    std::string detail;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_TIMELINE_EVENT_HPP
