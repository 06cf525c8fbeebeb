#ifndef JAYDRIFT_SOAK_CALL_ENDED_HPP
#define JAYDRIFT_SOAK_CALL_ENDED_HPP

#include <jaydrift/http/call_result.hpp>

#include <cstdint>

namespace jaydrift::soak {

/// Event: a caller's call to a daemon has ended, answered or not.
struct call_ended
{
    /// `send_call::number` of the call.
    std::uint64_t number = 0;
    http::call_result result;
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_CALL_ENDED_HPP
