#ifndef JAYDRIFT_DECIDE_STORE_FAILED_HPP
#define JAYDRIFT_DECIDE_STORE_FAILED_HPP

#include <cstdint>

namespace jaydrift::decide {

/// No reply of the store arrived; a write may have taken effect.
struct store_failed
{
    std::uint64_t correlation = 0;
    bool never_sent = false;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_STORE_FAILED_HPP
