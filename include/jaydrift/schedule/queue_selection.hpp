#ifndef JAYDRIFT_SCHEDULE_QUEUE_SELECTION_HPP
#define JAYDRIFT_SCHEDULE_QUEUE_SELECTION_HPP

#include <optional>
#include <string>
#include <string_view>

namespace jaydrift::schedule {

struct call_arrived;
struct context;
struct queue;
struct selected_queue;

/// Which queue a call names. The daemons that handle a call may have different
/// versions of the configuration; the newest one of them decides, so the
/// selection is passed on with the call.
namespace queue_selection {

/// Returns the queue that the call names by the configuration of this daemon,
/// or `known`, the selection of another daemon or of an earlier time, if that
/// was made by a newer one. Nothing if the newer one has no queue for the call.
std::optional<selected_queue>
select(context const& ctx, call_arrived const& call,
       std::optional<selected_queue> const& known);

/// Returns the ID of the submission in the path of a call to the queue; empty
/// if the call concerns the queue itself.
std::string_view id_of(call_arrived const& call, queue const& target);

/// Describes the configuration that made a selection, for the log.
std::string source_text(context const& ctx, selected_queue const& selected);

/// Counts a call that another daemon has forwarded, by how the version of its
/// configuration compares with that of this daemon.
void note_forwarded(context& ctx, call_arrived const& call);

} // namespace queue_selection

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_QUEUE_SELECTION_HPP
