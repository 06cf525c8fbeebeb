#ifndef JAYDRIFT_DECIDE_JOURNAL_CONTENT_HPP
#define JAYDRIFT_DECIDE_JOURNAL_CONTENT_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace jaydrift::decide {

/// Number of keys that the slots of a shard are written to in turn.
inline constexpr std::size_t journal_keys = 64;

/// What the store holds of a shard's journal.
struct journal_content
{
    /// Highest epoch of any owner that wrote a value.
    std::uint64_t epoch = 0;

    /// Number of the last slot that was written. A slot is a group of records
    /// that one write makes durable. The slots of a shard are numbered from 1,
    /// and no number repeats. The key is that of the number modulo
    /// `journal_keys`, so a slot replaces an earlier one.
    std::uint64_t last_slot = 0;

    /// Number of the last slot that the snapshot covers.
    std::uint64_t snapshot_slot = 0;

    /// Revision of the snapshot's key; 0 if it does not exist.
    std::uint64_t snapshot_revision = 0;

    /// Revision of each key; 0 if it does not exist.
    std::array<std::uint64_t, journal_keys> revisions{};

    /// Text of the job table; empty if there is no snapshot.
    std::string snapshot;

    /// Records after the snapshot, in order.
    std::vector<std::string> records;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_JOURNAL_CONTENT_HPP
