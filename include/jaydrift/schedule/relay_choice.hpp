#ifndef JAYDRIFT_SCHEDULE_RELAY_CHOICE_HPP
#define JAYDRIFT_SCHEDULE_RELAY_CHOICE_HPP

#include <jaydrift/core/time_ms.hpp>

#include <optional>
#include <string>

namespace jaydrift::schedule {

struct context;
struct relayed_view;

/// Chooses where this daemon gets the operators' area from: one daemon in each
/// region reads it from the store, and the others ask that one. So each change
/// crosses the link between two regions once, whatever the number of daemons.
///
/// A daemon asks the store itself if two others have given it no current view.
namespace relay_choice {

/// Returns the name of the daemon to ask, or nothing if it is the store.
std::optional<std::string> source(context const& ctx);

/// Returns whether the daemons of the region may become known shortly, so that
/// the choice should wait.
bool may_wait(context const& ctx);

/// Handles the answer of a daemon to a call that was sent at `sent_at`. Returns
/// whether its view is as current as it should be.
bool answered(context& ctx, std::string const& node, time_ms sent_at,
              relayed_view const& view);

/// Handles that a daemon has given no answer.
void failed(context& ctx, std::string const& node);

} // namespace relay_choice

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_RELAY_CHOICE_HPP
