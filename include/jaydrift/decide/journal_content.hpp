#ifndef JAYDRIFT_DECIDE_JOURNAL_CONTENT_HPP
#define JAYDRIFT_DECIDE_JOURNAL_CONTENT_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace jaydrift::decide {

inline constexpr std::size_t journal_slots = 64;

/// What the store holds of a shard's journal.
struct journal_content
{
    /// Highest epoch of any value.
    std::uint64_t epoch = 0;
    std::uint64_t last_slot = 0;
    std::uint64_t snapshot_slot = 0;
    std::uint64_t snapshot_revision = 0;
    /// Revision of each slot's key; 0 if it does not exist.
    std::array<std::uint64_t, journal_slots> revisions{};
    std::string snapshot;
    /// Records after the snapshot, in order.
    std::vector<std::string> records;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_JOURNAL_CONTENT_HPP
