#ifndef JAYDRIFT_DECIDE_REQUEST_ENTRY_HPP
#define JAYDRIFT_DECIDE_REQUEST_ENTRY_HPP

#include <jaydrift/core/request_result.hpp>
#include <jaydrift/core/task_class.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/core/urgent_request.hpp>
#include <jaydrift/decide/request_phase.hpp>
#include <jaydrift/decide/request_waiter.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jaydrift::decide {

/// What the owner of a shard keeps about a request ID.
struct request_entry
{
    /// The payload is kept until the request will not be sent again.
    urgent_request request;

    /// Absent if the entry was rebuilt from an inventory or a hand-over.
    std::optional<std::uint64_t> payload_hash;
    task_class priority = task_class::urgent;
    request_phase phase = request_phase::waiting;

    /// Another region's owner delegated the request to this daemon.
    bool delegated_here = false;

    /// The request was delegated to another region and must not run in this
    /// one.
    bool delegated = false;

    /// An earlier owner may have delegated the request to another region, and
    /// that region has not replied to the check yet.
    bool check_needed = false;

    /// The request never arrived; the entry keeps it from running after the
    /// home region's owner asked about it.
    bool withdrawn = false;

    /// The request was unresolved once, so it does not become `not_run` if a
    /// later attempt is not sent.
    bool maybe_started = false;

    /// Number of the forward to another region; 0 means none.
    std::uint64_t forward = 0;
    time_ms arrived;

    /// Earliest time of the next start after a refusal.
    time_ms not_before;

    /// When the last search found no worker with room, and when evictions were
    /// last requested for this entry.
    std::optional<time_ms> no_room_at;
    std::optional<time_ms> room_requested_at;

    /// Number of the last start that was sent (the first is 1) and its worker.
    std::uint32_t attempt = 0;
    std::string worker;

    /// When the entry is removed; set once the request will not be sent again.
    std::optional<time_ms> expires_at;

    std::vector<request_waiter> waiters;
    request_result result;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_REQUEST_ENTRY_HPP
