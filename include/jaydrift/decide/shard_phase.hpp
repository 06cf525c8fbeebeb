#ifndef JAYDRIFT_DECIDE_SHARD_PHASE_HPP
#define JAYDRIFT_DECIDE_SHARD_PHASE_HPP

#include <cstdint>

namespace jaydrift::decide {

/// How far this daemon is with a shard.
enum class shard_phase : std::uint8_t
{
    /// Writes the shard's record.
    claiming,
    /// Fences the workers until a quorum is fenced.
    fencing,
    /// Has a quorum and waits out what the previous owner may still do.
    waiting,
    serving,
    /// Finishes the requests in flight before a hand-over.
    releasing,
    /// Has given up its authority and tells the successor.
    handing_over
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_SHARD_PHASE_HPP
