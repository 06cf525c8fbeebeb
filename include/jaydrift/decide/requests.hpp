#ifndef JAYDRIFT_DECIDE_REQUESTS_HPP
#define JAYDRIFT_DECIDE_REQUESTS_HPP

#include <jaydrift/core/execute_request.hpp>
#include <jaydrift/core/query_request.hpp>
#include <jaydrift/core/request_record.hpp>
#include <jaydrift/core/shard_id.hpp>
#include <jaydrift/core/task_report.hpp>
#include <jaydrift/decide/event.hpp>

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace jaydrift::decide {

struct context;
struct daemon_state;

/// Runs urgent requests: the owner of a shard keeps one entry per request ID.
namespace requests {

void on_timer(context& ctx);
void on_request_arrived(context& ctx, request_arrived const& event);
void on_execute(context& ctx, peer_called const& call,
                execute_request const& request);

/// Replies to the home region's owner about an ID that an earlier owner may
/// have delegated: the result, `unknown` while it may run, or an
/// acknowledgement that it did not run here and never will.
void on_query(context& ctx, peer_called const& call,
              query_request const& request);

void on_worker_replied(context& ctx, worker_replied const& event);
void on_worker_failed(context& ctx, worker_failed const& event);
void on_peer_replied(context& ctx, peer_replied const& event);
void on_peer_failed(context& ctx, peer_failed const& event);

/// Adds entries for the requests that a fenced worker's inventory reports for
/// the shard.
void on_inventory(context& ctx, shard_id const& shard, std::string_view worker,
                  std::span<task_report const> tasks);

/// Adds entries for the records that the previous owner sent with a planned
/// hand-over.
void on_handed_over(context& ctx, shard_id const& shard,
                    std::span<request_record const> records);

/// Advances the forwards to the shard, which this daemon now serves.
void on_shard_acquired(context& ctx, shard_id const& shard);

/// Drops the entries of a shard that this daemon no longer serves. Open
/// requests are answered with `unknown` if they may have started, and are sent
/// to the next owner otherwise.
void on_shard_lost(context& ctx, shard_id const& shard);

/// Returns the entries of a shard that are done or whose request may have
/// started, as records for a planned hand-over.
std::vector<request_record> records(daemon_state const& state,
                                    shard_id const& shard);

/// Returns the number of requests of the shard that were sent to a worker or to
/// another region and that have a waiter. A hand-over waits for these; queued
/// requests are sent to the next owner.
std::uint32_t open_requests(daemon_state const& state, shard_id const& shard);

/// Tells whether no caller or peer waits for a result from this daemon.
bool idle(daemon_state const& state);

/// Returns when `on_timer` is next due.
time_ms next_timer(daemon_state const& state);

} // namespace requests

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_REQUESTS_HPP
