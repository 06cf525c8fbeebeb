#ifndef JAYDRIFT_DECIDE_SEND_STORE_HPP
#define JAYDRIFT_DECIDE_SEND_STORE_HPP

#include <jaydrift/core/store_request.hpp>
#include <jaydrift/core/time_ms.hpp>

#include <cstdint>

namespace jaydrift::decide {

/// Sends a request to the store; one `store_replied` or `store_failed`
/// follows.
struct send_store
{
    std::uint64_t correlation = 0;
    time_ms timeout;
    store_request request;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_SEND_STORE_HPP
