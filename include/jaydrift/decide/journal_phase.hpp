#ifndef JAYDRIFT_DECIDE_JOURNAL_PHASE_HPP
#define JAYDRIFT_DECIDE_JOURNAL_PHASE_HPP

#include <cstdint>

namespace jaydrift::decide {

/// How far an owner is with taking over a shard's journal.
enum class journal_phase : std::uint8_t
{
    /// The records are being read.
    reading,
    /// The epoch record that refuses the previous owner's writes is being
    /// written.
    fencing,
    ready
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_JOURNAL_PHASE_HPP
