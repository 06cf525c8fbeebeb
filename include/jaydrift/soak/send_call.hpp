#ifndef JAYDRIFT_SOAK_SEND_CALL_HPP
#define JAYDRIFT_SOAK_SEND_CALL_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/http/request.hpp>

#include <cstddef>
#include <cstdint>

namespace jaydrift::soak {

/// Effect: calls a daemon as a caller; `call_ended` follows.
struct send_call
{
    std::uint64_t number = 0;
    std::size_t daemon = 0;
    http::request message;
    time_ms time_limit;
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_SEND_CALL_HPP
