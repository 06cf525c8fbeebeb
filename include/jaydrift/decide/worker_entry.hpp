#ifndef JAYDRIFT_DECIDE_WORKER_ENTRY_HPP
#define JAYDRIFT_DECIDE_WORKER_ENTRY_HPP

#include <jaydrift/core/resources.hpp>
#include <jaydrift/core/shard_id.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/core/vm_info.hpp>
#include <jaydrift/decide/circuit_breaker.hpp>
#include <jaydrift/decide/reservation.hpp>
#include <jaydrift/decide/start_history.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace jaydrift::decide {

/// Number of values of `task_class`.
inline constexpr std::size_t task_class_count = 4;

/// What a daemon knows about one worker, of any shard.
struct worker_entry
{
    vm_info vm;
    shard_id shard;

    /// When the VM list first named the VM as gone.
    time_ms gone_at;

    /// Newest values of the worker's own replies. `reported_at` is in the
    /// worker's clock.
    time_ms reported_at;
    std::uint64_t epoch = 0;
    resources capacity;
    bool leaving = false;
    std::uint64_t usage_generation = 0;

    /// CPU use of all tasks in the last usage report.
    std::int64_t measured_millicores = 0;

    /// Reported use that no reservation explains.
    resources unreserved_use;

    /// By task ID.
    std::map<std::string, reservation, std::less<>> reservations;

    /// Sums of the reservations, in total and by the value of `task_class`.
    resources reserved;
    std::array<resources, task_class_count> reserved_by_class;

    /// Number of reservations by kind.
    std::map<std::string, std::uint32_t, std::less<>> reservations_by_kind;

    start_history starts;
    circuit_breaker breaker;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_WORKER_ENTRY_HPP
