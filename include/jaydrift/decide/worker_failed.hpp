#ifndef JAYDRIFT_DECIDE_WORKER_FAILED_HPP
#define JAYDRIFT_DECIDE_WORKER_FAILED_HPP

#include <cstdint>
#include <string>

namespace jaydrift::decide {

/// A request to a worker failed or timed out. It may have taken effect unless
/// `never_sent` is set.
struct worker_failed
{
    std::string worker;
    std::uint64_t correlation = 0;

    /// No connection was made, so the request did not arrive.
    bool never_sent = false;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_WORKER_FAILED_HPP
