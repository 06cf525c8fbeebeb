#ifndef JAYDRIFT_DECIDE_START_IN_FLIGHT_HPP
#define JAYDRIFT_DECIDE_START_IN_FLIGHT_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/decide/request_key.hpp>

#include <cstdint>
#include <string>

namespace jaydrift::decide {

/// A start that awaits the worker's reply.
struct start_in_flight
{
    request_key key;
    std::uint32_t attempt = 0;
    std::string worker;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_START_IN_FLIGHT_HPP
