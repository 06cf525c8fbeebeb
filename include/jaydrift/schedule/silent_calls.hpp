#ifndef JAYDRIFT_SCHEDULE_SILENT_CALLS_HPP
#define JAYDRIFT_SCHEDULE_SILENT_CALLS_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/store_purpose.hpp>

#include <cstdint>

namespace jaydrift::schedule {

struct context;
struct daemon_state;
struct pending_store_call;
struct store_replied;

/// Calls to the store whose reply is overdue. The store may have swallowed them
/// while it was silent, and be back; or it, or the link, is slow.
///
/// A time limit cannot tell these apart: a short one gives up replies that are
/// on their way, and a long one holds up everything that waits for the call. So
/// while a reply is overdue, small calls of their own ask whether the store
/// answers. Once it has answered a call that was sent after the reply was due,
/// a call of whose reply nothing arrives is ended, and whoever made it calls
/// again. If the store keeps answering other calls but not these, it may need
/// long for their replies, so they get more time.
namespace silent_calls {

/// Returns the `silence_limit` of the next call with this purpose.
time_ms silence_limit(daemon_state const& state, store_purpose purpose,
                      std::uint32_t shard);

/// Notes the end of a call.
void ended(context& ctx, pending_store_call const& call,
           store_replied const& reply);

/// Ends the calls that the store will not answer, and asks for its revision if
/// that is due.
void tick(context& ctx);

/// Asks the store for its revision now. An answer ends the failure of the
/// store, and calls that it will not answer.
void probe(context& ctx);

} // namespace silent_calls

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_SILENT_CALLS_HPP
