#ifndef JAYDRIFT_DECIDE_JOURNAL_PHASE_HPP
#define JAYDRIFT_DECIDE_JOURNAL_PHASE_HPP

#include <cstdint>

namespace jaydrift::decide {

/// How far an owner has taken over a shard's journal.
enum class journal_phase : std::uint8_t
{
    /// The records are being read.
    reading,

    /// The epoch record is being written: a slot without records, after which
    /// the store refuses the previous owner's writes.
    fencing,

    /// Records can be written.
    ready
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_JOURNAL_PHASE_HPP
