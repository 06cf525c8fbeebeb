#ifndef JAYDRIFT_APP_STANDIN_STATS_HPP
#define JAYDRIFT_APP_STANDIN_STATS_HPP

#include <jaydrift/core/time_ms.hpp>

#include <string>

namespace jaydrift {
struct vm_info;
} // namespace jaydrift

namespace jaydrift::standin {
struct backend_state;
struct store_state;
struct worker_state;
} // namespace jaydrift::standin

namespace jaydrift::app {

/// Returns the counters of the store as a JSON object.
std::string stats_to_json(standin::store_state const& state);

/// Returns the counters of a worker as a JSON object. `wall_offset` is
/// wall-clock time minus the worker's time; the starts and ends of tasks are
/// printed in wall-clock time.
std::string stats_to_json(standin::worker_state const& state, vm_info const& vm,
                          time_ms wall_offset);

/// Returns the counters of a backend server as a JSON object.
std::string stats_to_json(standin::backend_state const& state);

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_STANDIN_STATS_HPP
