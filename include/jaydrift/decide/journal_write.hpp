#ifndef JAYDRIFT_DECIDE_JOURNAL_WRITE_HPP
#define JAYDRIFT_DECIDE_JOURNAL_WRITE_HPP

#include <jaydrift/decide/journal_record.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace jaydrift::decide {

/// The write that a journal has in progress. There is at most one.
struct journal_write
{
    std::string key;
    std::string value;

    /// Names the write, so that a read of the key tells whether it took effect.
    std::string token;

    /// Revision that the key must have; 0 means that it must not exist.
    std::uint64_t expected_revision = 0;

    /// Number of the slot that is written, or of the last slot that the
    /// snapshot covers.
    std::uint64_t slot = 0;
    bool is_snapshot = false;
    std::vector<journal_record> records;

    /// A reply was lost, so the write may still take effect at any time.
    bool maybe_sent = false;

    /// The key must be read before anything else is sent, to learn whether the
    /// write took effect.
    bool unresolved = false;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_JOURNAL_WRITE_HPP
