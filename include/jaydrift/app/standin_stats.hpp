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

/// Each function prints the counters of a stand-in as one JSON object.

std::string print_stats(standin::store_state const& state);

/// `wall_offset` added to the worker's clock gives wall-clock time, in which
/// the starts are printed.
std::string print_stats(standin::worker_state const& state, vm_info const& vm,
                        time_ms wall_offset);

std::string print_stats(standin::backend_state const& state);

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_STANDIN_STATS_HPP
