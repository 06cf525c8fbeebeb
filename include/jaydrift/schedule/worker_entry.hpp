#ifndef JAYDRIFT_SCHEDULE_WORKER_ENTRY_HPP
#define JAYDRIFT_SCHEDULE_WORKER_ENTRY_HPP

#include <jaydrift/core/resources.hpp>
#include <jaydrift/core/time_ms.hpp>

#include <string>
#include <vector>

namespace jaydrift::schedule {

/// A worker as it registers itself.
struct worker_entry
{
    std::string id;
    std::string service;
    std::string address;
    std::string zone;

    /// Kind and rack of the worker.
    std::vector<std::string> labels;
    resources capacity;

    /// The worker leaves and must get nothing new.
    bool draining = false;

    /// Wall clock time of the start of the worker's process; tells apart the
    /// lives of a worker that keeps its ID.
    time_ms process_started_at;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_WORKER_ENTRY_HPP
