#ifndef JAYDRIFT_SOAK_SHARED_RATE_HPP
#define JAYDRIFT_SOAK_SHARED_RATE_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace jaydrift::soak {

/// A link of limited rate that the bytes of several connections pass one after
/// the other.
class shared_rate
{
public:
    /// Returns how long it takes until bytes that are sent now have passed.
    /// `bytes_per_second` must be above 0.
    std::chrono::microseconds pass(std::size_t bytes,
                                   std::size_t bytes_per_second)
    {
        constexpr std::size_t us_per_second = 1000000;
        auto const now = std::chrono::steady_clock::now();
        free_at_ = std::max(free_at_, now)
                   + std::chrono::microseconds(bytes * us_per_second
                                               / bytes_per_second);
        return std::chrono::duration_cast<std::chrono::microseconds>(free_at_
                                                                     - now);
    }

private:
    std::chrono::steady_clock::time_point free_at_;
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_SHARED_RATE_HPP
