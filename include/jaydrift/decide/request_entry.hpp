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

/// The owner's record of a request ID.
struct request_entry
{
    /// The payload is kept until the result is known.
    urgent_request request;

    /// Absent if the record was rebuilt from an inventory or a hand-over.
    std::optional<std::uint64_t> payload_hash;
    task_class priority = task_class::urgent;
    request_phase phase = request_phase::waiting;

    /// It runs here for the owner of another region's shard.
    bool delegated_to_us = false;

    /// It was passed to another region and must not run in this one.
    bool delegated = false;

    /// An earlier owner may have passed it to another region, and that region
    /// has not been asked yet.
    bool check_needed = false;

    /// It never arrived; the home region's owner asked that it is not run.
    bool withdrawn = false;

    /// It was unresolved once, so a later attempt that is not sent does not
    /// make it `not_run`.
    bool maybe_started = false;

    /// Number of the forward to another region.
    std::uint64_t forward = 0;
    time_ms arrived;

    /// Earliest time of the next start after a refusal.
    time_ms not_before;

    /// When no worker with room was found last, and when room was last made.
    std::optional<time_ms> looked_at;
    std::optional<time_ms> room_made_at;

    /// Number of the last start that was sent, and to which worker.
    std::uint32_t attempt = 0;
    std::string worker;

    /// When the record is forgotten; set once no start is open.
    std::optional<time_ms> expires_at;

    std::vector<request_waiter> waiters;
    request_result result;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_REQUEST_ENTRY_HPP
