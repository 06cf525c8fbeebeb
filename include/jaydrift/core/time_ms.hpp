#ifndef JAYDRIFT_CORE_TIME_MS_HPP
#define JAYDRIFT_CORE_TIME_MS_HPP

#include <compare>
#include <cstdint>

namespace jaydrift {

/// A point in time or a duration in milliseconds.
///
/// Points count from an origin that the clock defines: the system clock counts
/// from the Unix epoch, a virtual clock from zero. Each VM has its own clock,
/// so points of different VMs are never compared directly.
class time_ms
{
public:
    constexpr time_ms() = default;
    constexpr explicit time_ms(std::int64_t count) : count_(count) {}

    constexpr std::int64_t count() const { return count_; }

    constexpr auto operator<=>(time_ms const&) const = default;

    constexpr time_ms& operator+=(time_ms other)
    {
        count_ += other.count_;
        return *this;
    }

    constexpr time_ms& operator-=(time_ms other)
    {
        count_ -= other.count_;
        return *this;
    }

private:
    std::int64_t count_ = 0;
};

constexpr time_ms operator+(time_ms a, time_ms b) { return a += b; }

constexpr time_ms operator-(time_ms a, time_ms b) { return a -= b; }

constexpr time_ms operator*(time_ms a, std::int64_t factor)
{
    return time_ms(a.count() * factor);
}

namespace literals {

constexpr time_ms operator""_ms(unsigned long long count)
{
    return time_ms(static_cast<std::int64_t>(count));
}

} // namespace literals

} // namespace jaydrift

#endif // JAYDRIFT_CORE_TIME_MS_HPP
