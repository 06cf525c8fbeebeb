#ifndef JAYDRIFT_DECIDE_REQUEST_STATE_HPP
#define JAYDRIFT_DECIDE_REQUEST_STATE_HPP

#include <jaydrift/core/shard_id.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/decide/forward_entry.hpp>
#include <jaydrift/decide/queue_rate.hpp>
#include <jaydrift/decide/request_key.hpp>
#include <jaydrift/decide/retry_budget.hpp>
#include <jaydrift/decide/shard_requests.hpp>
#include <jaydrift/decide/start_in_flight.hpp>
#include <jaydrift/decide/unconfirmed_start.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <utility>

namespace jaydrift::decide {

/// State of the request module.
struct request_state
{
    std::map<shard_id, shard_requests> shards;

    /// Starts that await a worker's reply, by correlation number.
    std::map<std::uint64_t, start_in_flight> starts;

    /// Forwards by number.
    std::map<std::uint64_t, forward_entry> forwards;
    /// Number of the forward by the correlation number of its open call.
    std::map<std::uint64_t, std::uint64_t> forward_of_call;
    /// When each forward is due, with its number.
    std::set<std::pair<time_ms, std::uint64_t>> forwards_due;
    std::uint64_t last_forward = 0;

    /// Deadlines of the waiters of entries.
    std::set<std::pair<time_ms, request_key>> deadlines;

    /// Closed entries, which are done or unresolved, in the order in which they
    /// are removed.
    std::deque<std::pair<time_ms, request_key>> expiries;

    /// Entries that hold an answer, oldest first.
    std::deque<request_key> answers;
    std::uint64_t answer_bytes = 0;

    /// Size of the payloads of entries and forwards, in bytes.
    std::uint64_t payload_bytes = 0;
    /// Number of entries in all shards.
    std::size_t entry_count = 0;
    /// Length and speed of each class's queue over all shards, indexed by
    /// `requests::queue_index`.
    std::array<queue_rate, 2> queues;

    /// Budget for the starts after the first attempt of a request.
    retry_budget retries;
    std::deque<unconfirmed_start> unconfirmed_starts;

    /// When the queues of all shards are next checked for requests to start.
    time_ms next_dispatch;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_REQUEST_STATE_HPP
