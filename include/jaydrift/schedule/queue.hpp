#ifndef JAYDRIFT_SCHEDULE_QUEUE_HPP
#define JAYDRIFT_SCHEDULE_QUEUE_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <string>

namespace jaydrift::schedule {

/// Configuration of a queue of submissions, as the operators write it.
struct queue
{
    std::string name;
    std::string host;

    /// Start of the path of calls to the queue, ending in `/`.
    std::string prefix;

    /// Only workers of this service run the queue's tasks.
    std::string service;

    /// Submissions of queues with a smaller number start first; 0 is the first.
    std::uint32_t priority = 0;

    /// Failed runs of one task after which its submission fails.
    std::uint32_t max_attempts = 1;

    /// Time from the acceptance to the objective: `slack_factor` times the sum
    /// of the estimates on the critical path, plus `latency_objective`.
    double slack_factor = 1.0;
    time_ms latency_objective;

    bool operator==(queue const&) const = default;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_QUEUE_HPP
