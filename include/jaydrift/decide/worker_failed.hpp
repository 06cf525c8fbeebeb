#ifndef JAYDRIFT_DECIDE_WORKER_FAILED_HPP
#define JAYDRIFT_DECIDE_WORKER_FAILED_HPP

#include <cstdint>
#include <string>

namespace jaydrift::decide {

/// No reply of a worker arrived; the request may have taken effect.
struct worker_failed
{
    std::string worker;
    std::uint64_t correlation = 0;

    /// The connection was never made, so the request did not arrive.
    bool never_sent = false;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_WORKER_FAILED_HPP
