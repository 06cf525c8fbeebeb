#ifndef JAYDRIFT_SOAK_OPEN_REQUEST_HPP
#define JAYDRIFT_SOAK_OPEN_REQUEST_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/http/request.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace jaydrift::soak {

/// A daemon's request to the simulated store or a simulated worker that still
/// waits: a watch or a hold without news, or a write or order that is to be
/// carried out late.
struct open_request
{
    /// `request_arrived::number`; 0 if nobody gets the answer.
    std::uint64_t number = 0;
    /// Absent for the store.
    std::optional<std::size_t> worker;
    http::request message;
    /// When it is answered or carried out at the latest.
    time_ms due;

    /// The answer is dropped, as if the network had lost it.
    bool unanswered = false;

    /// Set for an order that is carried out by the process that has the
    /// worker's ID then, if any: when the process that it was meant for
    /// started.
    std::optional<time_ms> process_started_at;
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_OPEN_REQUEST_HPP
