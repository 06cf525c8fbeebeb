#ifndef JAYDRIFT_SCHEDULE_SILENT_CALLS_HPP
#define JAYDRIFT_SCHEDULE_SILENT_CALLS_HPP

namespace jaydrift::schedule {

struct context;

/// Calls to the store whose reply is overdue. The store may have swallowed them
/// while it was silent, and be back; or it, or the link, is slow.
///
/// A time limit cannot tell these apart: a short one gives up replies that are
/// on their way, and a long one holds up everything that waits for the call. So
/// while a reply is overdue, small calls of their own ask whether the store
/// answers. Once it has answered a call that was sent after the reply was due,
/// a call of whose reply nothing arrives is ended, and whoever made it calls
/// again.
namespace silent_calls {

/// Ends the calls that the store will not answer, and asks for its revision if
/// that is due.
void tick(context& ctx);

/// Asks the store for its revision now. An answer ends the failure of the
/// store, and calls that it will not answer.
void probe(context& ctx);

} // namespace silent_calls

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_SILENT_CALLS_HPP
