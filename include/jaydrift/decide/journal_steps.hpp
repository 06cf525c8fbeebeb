#ifndef JAYDRIFT_DECIDE_JOURNAL_STEPS_HPP
#define JAYDRIFT_DECIDE_JOURNAL_STEPS_HPP

#include <jaydrift/core/shard_id.hpp>
#include <jaydrift/core/store_reply.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/decide/journal_content.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace jaydrift::decide {

struct context;
struct journal_record;
struct shard_journal;

namespace journal {

/// Upper limit of the records in one slot, in bytes. The store holds values of
/// up to 1 MB; the rest is for the header.
inline constexpr std::size_t max_group_bytes = 900'000;

/// Time between two writes: two a second per shard, so that 28 shards stay at
/// 56 writes/s of the store's several hundred.
inline constexpr time_ms write_interval{500};

/// Number of slots after the last snapshot at which the next one is written.
/// The other 16 of the 64 keys remain for epoch records of owners that fail
/// before they write a snapshot.
inline constexpr std::uint64_t snapshot_after = 48;

/// Returns the prefix of all keys of a shard's journal.
std::string prefix_of(shard_id const& shard);
std::string snapshot_key(shard_id const& shard);
std::string slot_key(shard_id const& shard, std::uint64_t slot);

/// Returns the value of a slot with these records.
std::string slot_value(std::uint64_t slot, std::uint64_t epoch,
                       std::span<journal_record const> records);

/// Returns the value of a snapshot that covers the slots up to `slot`: the text
/// of the job table of an earlier snapshot or of now, and the records that were
/// written after it.
std::string snapshot_value(std::uint64_t slot, std::uint64_t epoch,
                           std::string_view table_text,
                           std::span<std::string const> records);

/// Returns the epoch of a slot or snapshot.
///
/// @throws field_error if the value is malformed.
std::uint64_t epoch_of(std::string_view value);

/// Returns what one read of the journal's prefix holds.
///
/// @throws field_error if a value is malformed, is under the wrong key, or a
/// slot between the snapshot and the last slot is missing.
journal_content decode_content(shard_id const& shard,
                               std::span<store_entry const> entries);

/// Sends the next call to the store: the read of the whole journal, a read of
/// the one key whose write is unresolved, or a write.
void advance(context& ctx, shard_id const& shard, shard_journal& journal);

/// Returns when `advance` is next due.
time_ms due(shard_journal const& journal);

/// Delays the next call after a failure.
void back_off(context& ctx, shard_journal& journal);

/// Prepares the epoch record, or before it a snapshot if no key is free.
void start_fence(context& ctx, shard_id const& shard, shard_journal& journal);

/// Gives up the journal, because a key of it holds a value of another owner,
/// whose epoch is `epoch`, or is gone; `epoch` is then the own one. Only an
/// epoch above the own one ends the term of the shard as well.
void on_superseded(context& ctx, shard_id const& shard, std::uint64_t epoch);

} // namespace journal

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_JOURNAL_STEPS_HPP
