#ifndef JAYDRIFT_DECIDE_MEMBER_KEY_CALLS_HPP
#define JAYDRIFT_DECIDE_MEMBER_KEY_CALLS_HPP

#include <jaydrift/core/time_ms.hpp>

namespace jaydrift {

struct store_reply;

} // namespace jaydrift

namespace jaydrift::decide {

struct context;
struct member_key;

/// Keeps this daemon's key in the store: requests a lease, writes the key with
/// it and keeps the lease alive. Each call is retried.
namespace member_key_calls {

/// Sends the next call if it is due.
void advance(context& ctx);

void on_replied(context& ctx, store_reply const& reply);

void on_failed(context& ctx);

/// Returns when `advance` is next due.
time_ms next_timer(member_key const& key);

} // namespace member_key_calls

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_MEMBER_KEY_CALLS_HPP
