#ifndef JAYDRIFT_DECIDE_JOURNAL_HPP
#define JAYDRIFT_DECIDE_JOURNAL_HPP

#include <jaydrift/core/shard_id.hpp>
#include <jaydrift/decide/event.hpp>

#include <cstdint>
#include <string_view>

namespace jaydrift::decide {

struct context;
struct daemon_state;

/// Makes a shard's batch records durable in the store, in order. Records are
/// written in groups, the slots, to 64 keys that are reused in turn; a snapshot
/// of the shard's jobs replaces the records before it.
namespace journal {

/// Sends the calls to the store that are due.
void on_timer(context& ctx);
void on_store_replied(context& ctx, store_replied const& event);
void on_store_failed(context& ctx, store_failed const& event);

/// Starts to read a shard's records and to fence its previous owner;
/// `batch::on_loaded` follows. Does nothing if the journal is already loading
/// or loaded under this epoch.
void load(context& ctx, shard_id const& shard, std::uint64_t epoch);

/// Frees the state of a shard's journal. Records that were not sent are lost.
void drop(context& ctx, shard_id const& shard);

/// Queues a record and returns its sequence number; `batch::on_durable` follows
/// once it is in the store. The record may wait for `max_delay` so that later
/// ones share its write. Returns 0 if `load` was not called for the shard, or
/// its journal was dropped or lost since.
std::uint64_t append(context& ctx, shard_id const& shard,
                     std::string_view record, time_ms max_delay = {});

/// Removes a record that was never sent to the store. Returns false if it may
/// have been written.
bool withdraw(context& ctx, shard_id const& shard, std::uint64_t sequence);

/// Tells whether the shard's records have been read and the previous owner can
/// write no more.
bool ready(daemon_state const& state, shard_id const& shard);

/// Returns when `on_timer` is next due.
time_ms next_timer(daemon_state const& state);

} // namespace journal

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_JOURNAL_HPP
