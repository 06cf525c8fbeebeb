#ifndef JAYDRIFT_SCHEDULE_CANCELLATIONS_HPP
#define JAYDRIFT_SCHEDULE_CANCELLATIONS_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace jaydrift::schedule {

struct cancellation_record;
struct cancellation_state;
struct shard_context;

/// Cancels of IDs that the shard does not know: their submissions may still be
/// on the way, held up by a daemon that stood still or by a slow link.
namespace cancellations {

/// Returns the cancel of an ID; null if there is none.
cancellation_state* find(shard_context& ctx, std::string_view id);

/// Remembers a cancel. The call goes on once it is stored. Returns false, and
/// remembers nothing, if there are too many.
bool add(shard_context& ctx, std::uint64_t call, std::string const& id);

/// Takes over a record of an earlier owner.
void restore(shard_context& ctx, cancellation_record const& record);

/// Handles that the record of a cancel has been stored.
void stored(shard_context& ctx, std::string_view id);

/// Forgets cancels after the retention of ended submissions.
void tick(shard_context& ctx);

} // namespace cancellations

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_CANCELLATIONS_HPP
