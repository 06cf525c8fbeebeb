#ifndef JAYDRIFT_SCHEDULE_VIEW_AGE_HPP
#define JAYDRIFT_SCHEDULE_VIEW_AGE_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace jaydrift::schedule {

struct context;
struct watch_state;

/// The age of the daemon's views of the store's areas, and what was decided by
/// views that are out of date.
namespace view_age {

/// Returns whether the view may miss a change that must be in force by now. A
/// view that does not exist yet is not out of date.
bool is_stale(watch_state const& view, time_ms now);

/// Describe, for the log, what decides about calls and about starts: the
/// version of the configuration, or the workers' entries, and the age of that
/// view.
std::string configuration_text(context const& ctx);
std::string workers_text(context const& ctx);

/// Counts a call that was answered, and a task that was ordered to start, if
/// the view that decided is out of date.
void note_answer(context& ctx, std::string_view result);
void note_start(context& ctx);

/// Returns the version of the configuration in force; 0 if there is none.
std::uint64_t version(context const& ctx);

/// Writes a line if another version than `before` is in force now: how old the
/// view was when it was replaced, and how many calls it had answered since it
/// was current. A later version may have been acknowledged before these.
void report_replaced(context& ctx, std::uint64_t before, time_ms age);

/// Writes lines about what was counted, once a second at most. They are about
/// the state of the daemon, so a flood of lines about single calls does not
/// displace them.
void tick(context& ctx);

} // namespace view_age

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_VIEW_AGE_HPP
