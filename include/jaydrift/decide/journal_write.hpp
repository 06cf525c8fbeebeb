#ifndef JAYDRIFT_DECIDE_JOURNAL_WRITE_HPP
#define JAYDRIFT_DECIDE_JOURNAL_WRITE_HPP

#include <jaydrift/decide/journal_record.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace jaydrift::decide {

/// The one write of a journal that is not known to be durable yet.
struct journal_write
{
    std::string key;
    std::string value;
    std::string token;
    std::uint64_t expected_revision = 0;
    /// Slot sequence that is written, or that the snapshot covers.
    std::uint64_t slot = 0;
    bool is_snapshot = false;
    std::vector<journal_record> records;
    /// An answer was lost, so the write may still take effect at any time.
    bool maybe_sent = false;
    /// The key must be read back before the next step.
    bool unresolved = false;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_JOURNAL_WRITE_HPP
