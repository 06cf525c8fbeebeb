#ifndef JAYDRIFT_DECIDE_RENEWAL_HPP
#define JAYDRIFT_DECIDE_RENEWAL_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <string_view>

namespace jaydrift {

struct store_reply;
struct worker_reply;

} // namespace jaydrift

namespace jaydrift::decide {

struct context;
struct shard_view;
struct term_state;
struct term_call;

/// Renews this daemon's authority over a shard: sends renewals to the fenced
/// workers in rounds, and extends the authority with each round that a quorum
/// accepts. A renewal also extends the worker's lease and tells it the policy
/// version.
namespace renewal {

/// Sends a round if one is due.
void advance(context& ctx, shard_view& view);

/// Sends a renewal of the newest round to one worker, such as one that was just
/// fenced.
void send_to(context& ctx, shard_view& view, std::string_view worker);

void on_replied(context& ctx, shard_view& view, term_call const& call,
                std::string_view worker, worker_reply const& reply);

void on_failed(context& ctx, shard_view& view, term_call const& call,
               std::string_view worker);

/// Counts the store's vote for a round: the record read must still name this
/// term.
void on_record_read(context& ctx, shard_view& view, term_call const& call,
                    store_reply const& reply);

/// Returns the policy version that is in force in the shard: the highest that a
/// majority of the voters knows and before which no start can be accepted any
/// more. 0 if there is none.
std::uint64_t policy_in_force(term_state const& term, time_ms now);

} // namespace renewal

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_RENEWAL_HPP
