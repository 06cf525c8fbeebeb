#ifndef JAYDRIFT_DECIDE_REQUEST_ARRIVED_HPP
#define JAYDRIFT_DECIDE_REQUEST_ARRIVED_HPP

#include <jaydrift/core/urgent_request.hpp>

#include <cstdint>

namespace jaydrift::decide {

/// A caller sent an urgent request. `call` identifies the open HTTP exchange.
struct request_arrived
{
    std::uint64_t call = 0;
    urgent_request request;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_REQUEST_ARRIVED_HPP
