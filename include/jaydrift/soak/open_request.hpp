#ifndef JAYDRIFT_SOAK_OPEN_REQUEST_HPP
#define JAYDRIFT_SOAK_OPEN_REQUEST_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/http/request.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace jaydrift::soak {

/// A request of a daemon that waits: a watch, a hold, or an order that is
/// carried out late.
struct open_request
{
    std::uint64_t number = 0;
    std::optional<std::size_t> worker;
    http::request message;
    time_ms due;

    /// Nobody gets the answer.
    bool unanswered = false;
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_OPEN_REQUEST_HPP
