#ifndef JAYDRIFT_DECIDE_PEER_FAILED_HPP
#define JAYDRIFT_DECIDE_PEER_FAILED_HPP

#include <cstdint>
#include <string>

namespace jaydrift::decide {

/// A request to a daemon failed or timed out. It may have taken effect unless
/// `never_sent` is set.
struct peer_failed
{
    std::string daemon;
    std::uint64_t correlation = 0;

    /// No connection was made, so the request did not arrive.
    bool never_sent = false;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_PEER_FAILED_HPP
