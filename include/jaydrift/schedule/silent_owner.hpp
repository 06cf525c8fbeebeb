#ifndef JAYDRIFT_SCHEDULE_SILENT_OWNER_HPP
#define JAYDRIFT_SCHEDULE_SILENT_OWNER_HPP

#include <jaydrift/core/time_ms.hpp>

namespace jaydrift::schedule {

struct ownership_state;
struct shard_context;
struct store_replied;

/// Tells an owner that is dead from one whose heartbeats do not get through:
/// the latter goes on writing to the store.
namespace silent_owner {

/// Returns the silence after which the owner is suspected to be dead.
time_ms suspect_after(ownership_state const& ownership);

/// Notes that the owner was alive at a time, by a heartbeat, by a peer or by a
/// new owner record.
void heard(ownership_state& ownership, time_ms at);

/// Reads the write serial for a first time once the owner has been silent for
/// half of the time after which it is suspected.
void watch(shard_context& ctx);

/// Returns whether the shard of the silent owner may be claimed at once. If
/// not, the write serial is read once more first; see `serial_read`.
bool may_claim(shard_context& ctx);

/// Handles the reply to a read of the write serial. Returns whether the shard
/// is to be claimed now: the owner has not written since the first read, or
/// the store did not answer.
bool serial_read(shard_context& ctx, store_replied const& reply);

} // namespace silent_owner

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_SILENT_OWNER_HPP
