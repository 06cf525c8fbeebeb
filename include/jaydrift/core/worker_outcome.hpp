#ifndef JAYDRIFT_CORE_WORKER_OUTCOME_HPP
#define JAYDRIFT_CORE_WORKER_OUTCOME_HPP

#include <cstdint>

namespace jaydrift {

/// Result of a request to a worker. All but `ok`, `failed` and
/// `already_started` mean that the request changed nothing.
enum class worker_outcome : std::uint8_t
{
    ok,
    stale_epoch,
    stale_generation,
    past_deadline,
    lease_lapsed,
    over_limit,
    leaving,
    unknown_task,
    already_started,
    failed
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_WORKER_OUTCOME_HPP
