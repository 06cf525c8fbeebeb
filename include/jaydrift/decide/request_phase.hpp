#ifndef JAYDRIFT_DECIDE_REQUEST_PHASE_HPP
#define JAYDRIFT_DECIDE_REQUEST_PHASE_HPP

#include <cstdint>

namespace jaydrift::decide {

/// Phase of a request record.
enum class request_phase : std::uint8_t
{
    /// The other region is asked whether it ran for an earlier owner.
    checking,

    /// Queued; no start is open.
    waiting,

    /// A start was sent to a worker and its reply is open.
    started,

    /// Passed to a shard of another region.
    delegated,

    /// It may have run; its result is not known, and it is never sent again.
    unresolved,

    /// Its result is known and final.
    done
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_REQUEST_PHASE_HPP
