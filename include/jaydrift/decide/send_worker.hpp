#ifndef JAYDRIFT_DECIDE_SEND_WORKER_HPP
#define JAYDRIFT_DECIDE_SEND_WORKER_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/core/worker_request.hpp>

#include <cstdint>
#include <string>

namespace jaydrift::decide {

/// Sends a request to a worker; one `worker_replied` or `worker_failed` with
/// the same correlation number follows.
struct send_worker
{
    std::string worker;
    std::string address;
    std::uint64_t correlation = 0;
    time_ms timeout;
    worker_request request;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_SEND_WORKER_HPP
