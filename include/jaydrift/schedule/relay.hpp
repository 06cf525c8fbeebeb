#ifndef JAYDRIFT_SCHEDULE_RELAY_HPP
#define JAYDRIFT_SCHEDULE_RELAY_HPP

#include <jaydrift/core/time_ms.hpp>

namespace jaydrift::schedule {

struct context;
struct relay_call_arrived;

/// Passes the operators' area on to the daemons of the region that ask for it.
namespace relay {

/// The view of a daemon that can reach the store is younger than this: it is as
/// old as the time between two replies to its watch and some delay.
inline constexpr time_ms max_age{700};

/// Answers a call at once if there is a change, otherwise when there is one or
/// its wait is over.
void arrived(context& ctx, relay_call_arrived const& call);

/// Answers the calls that wait for a change.
void view_changed(context& ctx);

/// Answers the calls whose wait is over, and earlier if the view gets too old:
/// other daemons can ask elsewhere then.
void tick(context& ctx);

/// Returns whether other daemons follow the view of this one.
bool has_followers(context const& ctx);

} // namespace relay

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_RELAY_HPP
