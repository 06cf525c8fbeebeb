#ifndef JAYDRIFT_DECIDE_JOB_WAITER_HPP
#define JAYDRIFT_DECIDE_JOB_WAITER_HPP

#include <cstdint>

namespace jaydrift::decide {

/// A caller, an operator or a peer that waits for the answer to a request about
/// a job, and the number of its open call.
struct job_waiter
{
    enum class origin : std::uint8_t
    {
        caller,
        operator_client,
        peer
    };

    origin from = origin::caller;
    std::uint64_t call = 0;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_JOB_WAITER_HPP
