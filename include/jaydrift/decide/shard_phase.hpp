#ifndef JAYDRIFT_DECIDE_SHARD_PHASE_HPP
#define JAYDRIFT_DECIDE_SHARD_PHASE_HPP

#include <cstdint>

namespace jaydrift::decide {

/// Phase of this daemon's term as the owner, or candidate, of a shard.
enum class shard_phase : std::uint8_t
{
    /// Writes the shard's record with its epoch.
    claiming,
    /// Fences the workers until a quorum is fenced.
    fencing,
    /// Has a quorum and waits until the previous owner's authority has ended.
    waiting,
    serving,
    /// Takes no new work and finishes the open requests before a hand-over.
    releasing,
    /// Has given up its authority and asks the successor to take the shard.
    handing_over
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_SHARD_PHASE_HPP
