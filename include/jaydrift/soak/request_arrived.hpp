#ifndef JAYDRIFT_SOAK_REQUEST_ARRIVED_HPP
#define JAYDRIFT_SOAK_REQUEST_ARRIVED_HPP

#include <jaydrift/http/request.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace jaydrift::soak {

/// Event: a daemon has called the store or a worker.
struct request_arrived
{
    /// `respond::number` of the answer.
    std::uint64_t number = 0;

    /// Absent for the store.
    std::optional<std::size_t> worker;
    http::request message;
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_REQUEST_ARRIVED_HPP
