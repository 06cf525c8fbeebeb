#ifndef JAYDRIFT_STANDIN_STORE_VALUES_HPP
#define JAYDRIFT_STANDIN_STORE_VALUES_HPP

#include <jaydrift/core/store_request.hpp>
#include <jaydrift/standin/store_context.hpp>

#include <string>
#include <string_view>

namespace jaydrift::standin {

/// The keys, leases and watches of the store.
namespace store_values {

/// `reply_to` executes a request and returns its reply. A put or erase with an
/// expected revision other than that of the key returns `conflict` and changes
/// nothing; 0 expects that the key does not exist.
store_reply reply_to(store_context& ctx, put_request const& request);
store_reply reply_to(store_context& ctx, erase_request const& request);
store_reply reply_to(store_context& ctx, read_request const& request);
store_reply reply_to(store_context& ctx, grant_lease_request const& request);
store_reply reply_to(store_context& ctx, keep_alive_request const& request);

/// Removes the expired leases and deletes their keys.
void expire_leases(store_context& ctx);

/// Restarts the time to live of every lease.
void restart_leases(store_context& ctx);

/// Returns the entries and deletions after the revision of a watch.
store_reply changes(store_state const& state, watch_request const& request);

/// Answers the watches that have a change or have expired.
void answer_watches(store_context& ctx);

} // namespace store_values

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_STORE_VALUES_HPP
