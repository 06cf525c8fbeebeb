#ifndef JAYDRIFT_DECIDE_REQUEST_STEPS_HPP
#define JAYDRIFT_DECIDE_REQUEST_STEPS_HPP

#include <jaydrift/core/peer_reply.hpp>
#include <jaydrift/core/request_result.hpp>
#include <jaydrift/core/shard_id.hpp>
#include <jaydrift/core/task_class.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/core/urgent_request.hpp>
#include <jaydrift/decide/forward_purpose.hpp>
#include <jaydrift/decide/request_key.hpp>
#include <jaydrift/decide/request_waiter.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaydrift::decide {

struct context;
struct daemon_state;
struct request_entry;

// Functions that the source files of the request module share.
namespace requests {

/// Returns the entry, or null.
request_entry* find_entry(daemon_state& state, request_key const& key);

/// Returns the index of a class in the queues: 0 for urgent, 1 for service.
std::size_t queue_index(task_class priority);

request_result not_run(std::string reason);
request_result unknown(std::string reason);

/// Answers one waiter.
void send_result(context& ctx, request_waiter const& waiter,
                 std::string_view id, request_result const& result);

void add_waiter(context& ctx, request_key const& key, request_entry& entry,
                request_waiter waiter);

/// Removes and returns all waiters of an entry.
std::vector<request_waiter>
take_waiters(daemon_state& state, request_key const& key, request_entry& entry);

/// Sets the final result of an entry, unless it has one, and answers the
/// waiters.
void finish(context& ctx, request_key const& key, request_result result);

/// Closes an entry whose request may have run: answers the waiters with
/// `unknown` and never starts the request again here.
void leave_unresolved(context& ctx, request_key const& key,
                      std::string_view reason);

/// Answers the waiters whose deadline has passed.
void expire_waiters(context& ctx);

/// Removes entries after the retention time.
void forget_old(context& ctx);

/// Frees the payload of an entry that will not be sent again.
void drop_payload(daemon_state& state, request_entry& entry);

/// Drops the oldest answers until the others fit the memory for answers.
void bound_answers(daemon_state& state);

/// Adds an entry to the front or the back of its queue.
void enqueue(daemon_state& state, request_key const& key, request_entry& entry,
             bool first);

/// Removes an entry from its queue.
void dequeue(daemon_state& state, request_key const& key,
             request_entry const& entry);

/// Handles a request at the owner of its shard: joins the existing entry of
/// its ID or creates one.
void execute_here(context& ctx, shard_id const& shard, urgent_request request,
                  bool delegated, request_waiter waiter);

/// Queues a new entry, which must exist, or refuses it if it is invalid or
/// there is no room.
void admit(context& ctx, request_key const& key);

/// Starts waiting requests of a shard while workers have room.
void dispatch(context& ctx, shard_id const& shard);

/// Queues a request, whose entry must exist, again after a worker refused its
/// start.
void requeue(context& ctx, request_key const& key, std::string_view reason);

/// Sends a request to the owner of a shard until a result arrives or the
/// waiter's deadline passes. Returns the number of the forward, or 0 if the
/// request was executed here or answered at once.
std::uint64_t forward(context& ctx, urgent_request request,
                      shard_id const& shard, forward_purpose purpose,
                      request_waiter waiter);

/// Makes the attempts and owner checks of all forwards that are due.
void advance_due_forwards(context& ctx);

/// Makes the next attempt or owner check of all forwards to the owner of a
/// shard, whether they are due or not.
void advance_forwards_to(context& ctx, shard_id const& shard);

/// Tells whether a daemon may have received a forward.
bool forward_sent(daemon_state const& state, std::uint64_t number);
void cancel_forward(daemon_state& state, std::uint64_t number);

/// Returns the shard in another region to which a request is delegated, or
/// nothing if there is only one region.
std::optional<shard_id> delegate_shard(daemon_state const& state,
                                       std::string_view home_region,
                                       std::string_view id);

/// Delegates the request of an entry, which must exist, to the other region.
/// Does nothing if there is only one region.
void delegate(context& ctx, request_key const& key);

/// Handles the result of a delegated request.
void on_delegated_result(context& ctx, request_key const& key,
                         request_result const& result);

/// Delegates a request again after the other region's shard moved before the
/// request started there.
void on_delegation_returned(context& ctx, request_key const& key);

/// Tells whether an earlier owner may have delegated a request without an entry
/// to the other region.
bool check_needed(context const& ctx, request_key const& key,
                  urgent_request const& request);

/// Asks the other region about a request for which `check_needed` returned
/// true. Its entry must exist.
void check_delegation(context& ctx, request_key const& key);

/// Handles the other region's reply to a check.
void on_checked(context& ctx, request_key const& key, peer_reply const& reply);

/// Returns the reply to a check of a request in a shard that this daemon
/// serves.
peer_reply answer_check(context& ctx, request_key const& key);

} // namespace requests

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_REQUEST_STEPS_HPP
