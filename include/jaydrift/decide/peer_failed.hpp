#ifndef JAYDRIFT_DECIDE_PEER_FAILED_HPP
#define JAYDRIFT_DECIDE_PEER_FAILED_HPP

#include <cstdint>
#include <string>

namespace jaydrift::decide {

/// No reply of a daemon arrived; the request may have taken effect.
struct peer_failed
{
    std::string daemon;
    std::uint64_t correlation = 0;
    bool never_sent = false;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_PEER_FAILED_HPP
