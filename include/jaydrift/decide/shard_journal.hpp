#ifndef JAYDRIFT_DECIDE_SHARD_JOURNAL_HPP
#define JAYDRIFT_DECIDE_SHARD_JOURNAL_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/decide/journal_content.hpp>
#include <jaydrift/decide/journal_phase.hpp>
#include <jaydrift/decide/journal_record.hpp>
#include <jaydrift/decide/journal_write.hpp>

#include <cstdint>
#include <deque>
#include <optional>

namespace jaydrift::decide {

/// State of one shard's journal at its owner.
struct shard_journal
{
    /// Epoch under which this daemon owns the shard; part of each write.
    std::uint64_t epoch = 0;
    journal_phase phase = journal_phase::reading;
    journal_content content;

    /// Records that are not part of a write yet, in order.
    std::deque<journal_record> pending;

    /// The write in progress.
    std::optional<journal_write> write;

    /// Correlation number of the call in flight; 0 means none.
    std::uint64_t call = 0;

    /// Earliest time of the next call after a failure.
    time_ms retry_at;

    /// Earliest time of the next write under the rate limit.
    time_ms write_at;

    /// When the first pending record must be written at the latest.
    time_ms commit_at;

    /// Failed calls since the last that succeeded; sets the back-off.
    std::uint32_t failures = 0;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_SHARD_JOURNAL_HPP
