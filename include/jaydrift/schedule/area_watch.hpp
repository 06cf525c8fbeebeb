#ifndef JAYDRIFT_SCHEDULE_AREA_WATCH_HPP
#define JAYDRIFT_SCHEDULE_AREA_WATCH_HPP

#include <jaydrift/schedule/store_purpose.hpp>

namespace jaydrift::schedule {

struct context;
struct relay_replied;
struct store_replied;

} // namespace jaydrift::schedule

/// Keeps this daemon's views of the store's areas up to date: reads each area
/// and then follows its changes.
namespace jaydrift::schedule::area_watch {

/// Handles the end of a call that read or watched an area.
void replied(context& ctx, store_purpose purpose, store_replied const& reply);

/// Handles the end of a call that asked another daemon for the operators' area.
void relayed(context& ctx, relay_replied const& reply);

/// Sends the reads and watches that are due.
void tick(context& ctx);

} // namespace jaydrift::schedule::area_watch

#endif // JAYDRIFT_SCHEDULE_AREA_WATCH_HPP
