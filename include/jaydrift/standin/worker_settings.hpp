#ifndef JAYDRIFT_STANDIN_WORKER_SETTINGS_HPP
#define JAYDRIFT_STANDIN_WORKER_SETTINGS_HPP

#include <jaydrift/core/resources.hpp>
#include <jaydrift/core/time_ms.hpp>

#include <cstddef>

namespace jaydrift::standin {

/// Capacity and delays of a worker.
struct worker_settings
{
    resources capacity;
    /// Maximum number of urgent requests of one kind that run at the same time.
    std::size_t slots_per_kind = 8;
    /// An ended task is remembered this long, so that it is not started again.
    time_ms retention{600'000};
    /// Time between two usage measurements.
    time_ms usage_interval{1'000};
    /// Limit of the total size of kept answers, so that an inventory fits in a
    /// message. Beyond it, the oldest answers are dropped and their requests
    /// are reported as failed.
    std::size_t max_answer_bytes = std::size_t{16} << 20U;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_WORKER_SETTINGS_HPP
