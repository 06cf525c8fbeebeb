#include <jaydrift/schedule/reply_time_estimate.hpp>

#include <algorithm>
#include <cmath>

namespace jaydrift::schedule {

namespace {

// Factors of RFC 6298, section 2.
constexpr double smoothed_gain = 0.125;
constexpr double variation_gain = 0.25;
constexpr double variations_waited = 4.0;

} // namespace

void reply_time_estimate::add(time_ms reply_time)
{
    auto const sample = static_cast<double>(reply_time.count());
    if (smoothed_ < 0.0)
    {
        smoothed_ = sample;
        variation_ = sample / 2.0;
    }
    else
    {
        variation_ +=
            variation_gain * (std::abs(smoothed_ - sample) - variation_);
        smoothed_ += smoothed_gain * (sample - smoothed_);
    }
    limit_ = std::clamp(
        time_ms(std::llround(smoothed_ + variations_waited * variation_)),
        shortest_limit_, longest_limit_);
}

void reply_time_estimate::timed_out()
{
    limit_ = std::min(limit_ + limit_, longest_limit_);
}

time_ms reply_time_estimate::expected() const
{
    return time_ms(std::llround(std::max(smoothed_, 0.0)));
}

} // namespace jaydrift::schedule
