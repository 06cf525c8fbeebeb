#ifndef JAYDRIFT_SOAK_RESPOND_HPP
#define JAYDRIFT_SOAK_RESPOND_HPP

#include <jaydrift/http/response.hpp>

#include <cstdint>

namespace jaydrift::soak {

/// Effect: answers the daemon's request whose `request_arrived` has the same
/// number.
struct respond
{
    std::uint64_t number = 0;
    http::response message;
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_RESPOND_HPP
