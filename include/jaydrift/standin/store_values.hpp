#ifndef JAYDRIFT_STANDIN_STORE_VALUES_HPP
#define JAYDRIFT_STANDIN_STORE_VALUES_HPP

#include <jaydrift/core/store_request.hpp>
#include <jaydrift/standin/store_step.hpp>

#include <string>
#include <string_view>

namespace jaydrift::standin {

/// The keys, leases and watches of the store.
namespace store_values {

store_reply run(store_step& step, put_request const& request);
store_reply run(store_step& step, erase_request const& request);
store_reply run(store_step& step, read_request const& request);
store_reply run(store_step& step, grant_lease_request const& request);
store_reply run(store_step& step, keep_alive_request const& request);

/// Deletes the keys of every lease that has expired.
void expire_leases(store_step& step);

/// Gives every lease its full time to live from now.
void restart_leases(store_step& step);

/// Returns the changes after the revision that a watch names.
store_reply changes(store_state const& state, watch_request const& request);

/// Answers the watches that have a change or have waited long enough.
void answer_watches(store_step& step);

} // namespace store_values

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_STORE_VALUES_HPP
