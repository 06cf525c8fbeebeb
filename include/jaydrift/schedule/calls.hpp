#ifndef JAYDRIFT_SCHEDULE_CALLS_HPP
#define JAYDRIFT_SCHEDULE_CALLS_HPP

#include <cstdint>
#include <string_view>

namespace jaydrift::schedule {

struct answer;
struct call_arrived;
struct context;
struct forward_replied;
struct shard_context;

/// Calls of callers. Each is served here, forwarded to the owner of its shard,
/// or refused. New submissions are refused if the store has not answered the
/// record log for long, if the shard has too many submissions, and while the
/// daemon is stopping.
namespace calls {

/// Takes a new call. It is answered at once if the configuration or the shards
/// are not known yet, or if no queue has its host and path: as no_queue, or as
/// unavailable if the view of the configuration is out of date. The queue of a
/// forwarded call is that by the newer configuration of the two daemons.
void arrived(context& ctx, call_arrived const& request);

/// Handles the end of a forwarded call.
void forward_ended(context& ctx, forward_replied const& reply);

/// Answers a call that waited for a change of the shard to be stored.
void stored(shard_context& ctx, std::uint64_t call);

/// Goes on with a call that cancels an ID which the shard does not know, once
/// that is stored.
void cancellation_stored(shard_context& ctx, std::uint64_t call,
                         std::string_view id);

/// Passes a call on from the first shard of its submission to shard `to`, the
/// second one. Either the submission was relocated there, or the first shard
/// does not know it; then it may not exist.
void redirect(shard_context& ctx, std::uint64_t call, std::uint32_t to);

/// This daemon gives up the shard, so the calls that wait for its record log do
/// not learn here whether their change is stored. Forwarded ones are answered
/// as unknown, the others go to the next owner.
void log_abandoned(shard_context& ctx);

/// Answers all open calls, which are not done, because the process is about to
/// end: as unknown if they may have been carried out, else as unavailable.
void fail_open_calls(context& ctx);

/// Repeats attempts that are due and refuses calls whose time is over.
void tick(context& ctx);

} // namespace calls

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_CALLS_HPP
