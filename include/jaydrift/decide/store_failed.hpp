#ifndef JAYDRIFT_DECIDE_STORE_FAILED_HPP
#define JAYDRIFT_DECIDE_STORE_FAILED_HPP

#include <cstdint>

namespace jaydrift::decide {

/// A request to the store failed or timed out. A write may have taken effect
/// unless `never_sent` is set.
struct store_failed
{
    std::uint64_t correlation = 0;

    /// No connection was made, so the request did not arrive.
    bool never_sent = false;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_STORE_FAILED_HPP
