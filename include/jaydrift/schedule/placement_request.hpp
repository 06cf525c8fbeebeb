#ifndef JAYDRIFT_SCHEDULE_PLACEMENT_REQUEST_HPP
#define JAYDRIFT_SCHEDULE_PLACEMENT_REQUEST_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/pace.hpp>
#include <jaydrift/schedule/tail_limits.hpp>
#include <jaydrift/schedule/task_id.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace jaydrift::schedule {

struct step_spec;

/// A task that needs a worker.
struct placement_request
{
    task_id id;
    step_spec const& spec;
    std::string_view service;

    /// Worker to avoid, since the task failed there; empty if there is none.
    std::string const& failed_on;
    time_ms waiting_since;

    /// Rack where the task runs fastest; empty if there is none.
    std::string_view rack;

    /// Tail latency of serving neighbours, relative to their target, up to
    /// which the task may start.
    double tolerance = tail_limits::start_in_time;

    /// Highest pace of the run. At `minimum_pace`, the tolerance does not
    /// count.
    std::uint32_t pace_limit = full_pace;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_PLACEMENT_REQUEST_HPP
