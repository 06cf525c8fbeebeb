#ifndef JAYDRIFT_DECIDE_REQUEST_PHASE_HPP
#define JAYDRIFT_DECIDE_REQUEST_PHASE_HPP

#include <cstdint>

namespace jaydrift::decide {

/// Phase of a request entry.
enum class request_phase : std::uint8_t
{
    /// The other region is asked whether it ran the request for an earlier
    /// owner.
    checking,

    /// Queued; no start awaits a reply.
    waiting,

    /// A start was sent to a worker, which has not replied yet.
    started,

    /// Sent to the owner of a shard in another region.
    delegated,

    /// The request may have run and its result is not known. It never starts
    /// again here.
    unresolved,

    /// The result is final.
    done
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_REQUEST_PHASE_HPP
