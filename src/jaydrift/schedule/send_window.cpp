#include <jaydrift/schedule/send_window.hpp>

#include <algorithm>

namespace jaydrift::schedule {

namespace {

/// Queueing delay that the window aims at: a third of a heartbeat interval.
constexpr time_ms target_delay{50};

/// Below this delay the window doubles in a reply time, as in slow start.
constexpr time_ms fast_growth_delay{25};

/// Growth in a reply time above that.
constexpr std::int64_t growth_bytes = 1500;

constexpr std::int64_t max_bytes = 1 << 22;

/// Share of the excess delay by which the window shrinks, and the smallest
/// factor (Swift's beta and max_mdf).
constexpr double shrink_share = 0.8;
constexpr double min_shrink_factor = 0.5;

} // namespace

time_ms send_window::queueing_delay() const
{
    auto const count = std::min(samples_, sample_count);
    if (count == 0)
    {
        return {};
    }
    auto const end = recent_.begin() + static_cast<std::ptrdiff_t>(count);
    return *std::min_element(recent_.begin(), end) - shortest_;
}

void send_window::replied(std::int64_t bytes, time_ms reply_time, time_ms now)
{
    // An idle window says nothing about the rate that the link bears.
    auto const in_use = in_flight_ >= window_ / 2;
    in_flight_ -= bytes;
    shortest_ = samples_ == 0 ? reply_time : std::min(shortest_, reply_time);
    recent_[samples_++ % sample_count] = reply_time;
    auto const delay = queueing_delay();
    if (delay > target_delay)
    {
        shrink(delay, reply_time, now);
    }
    else if (in_use)
    {
        auto const growth =
            delay < fast_growth_delay ? bytes : bytes * growth_bytes / window_;
        window_ = std::min(window_ + growth, max_bytes);
    }
}

void send_window::shrink(time_ms delay, time_ms reply_time, time_ms now)
{
    if (now < next_shrink_)
    {
        return;
    }
    next_shrink_ = now + reply_time;
    auto const excess = static_cast<double>((delay - target_delay).count())
                        / static_cast<double>(delay.count());
    auto const factor =
        std::max(min_shrink_factor, 1.0 - shrink_share * excess);
    window_ = std::max(min_bytes, static_cast<std::int64_t>(
                                      static_cast<double>(window_) * factor));
}

} // namespace jaydrift::schedule
