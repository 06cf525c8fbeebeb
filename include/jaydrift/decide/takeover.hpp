#ifndef JAYDRIFT_DECIDE_TAKEOVER_HPP
#define JAYDRIFT_DECIDE_TAKEOVER_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>

namespace jaydrift::decide {

struct context;
struct daemon_state;
struct shard_view;

/// Takes shards over: decides when, writes the record, fences the workers and
/// waits until the previous owner can start nothing more.
namespace takeover {

/// Begins a takeover if the shard has been without an owner for long enough and
/// this daemon ranks best for it.
void begin_if_due(context& ctx, shard_view& view);

/// Begins a takeover with an epoch. `handed_over` means that the previous owner
/// has given up its authority. Returns false if the shard's workers or its
/// record are not known yet.
bool begin(context& ctx, shard_view& view, std::uint64_t epoch,
           bool handed_over);

/// Goes from the claiming to the fencing phase.
void start_fencing(context& ctx, shard_view& view);

/// Goes on to the waiting and serving phases when their conditions hold.
void advance(context& ctx, shard_view& view);

/// Ends this daemon's term. `superseded` means that another daemon has taken
/// the shard; the next takeover then waits longer.
void step_down(context& ctx, shard_view& view, bool superseded);

/// Ends this daemon's term, as after a conflict with another candidate. A new
/// takeover may begin after a random delay.
void retry_later(context& ctx, shard_view& view);

} // namespace takeover

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_TAKEOVER_HPP
