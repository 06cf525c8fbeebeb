#ifndef JAYDRIFT_SCHEDULE_REPLY_TIME_ESTIMATE_HPP
#define JAYDRIFT_SCHEDULE_REPLY_TIME_ESTIMATE_HPP

#include <jaydrift/core/time_ms.hpp>

namespace jaydrift::schedule {

/// Estimates how long a reply takes, and how long to wait for one before the
/// call is repeated, as TCP's retransmission timer does (RFC 6298, with Karn's
/// algorithm: a reply to a repeated call is no sample, and the backoff stays
/// until there is one).
class reply_time_estimate
{
public:
    reply_time_estimate(time_ms shortest_limit, time_ms longest_limit)
        : shortest_limit_(shortest_limit), longest_limit_(longest_limit),
          limit_(shortest_limit)
    {
    }

    /// Adds the time of a reply to a call that was sent once.
    void add(time_ms reply_time);

    /// Notes that a call had no reply within `limit`.
    void timed_out();

    /// Returns how long to wait for a reply.
    time_ms limit() const { return limit_; }

    /// Returns the smoothed time of a reply; 0 before the first sample.
    time_ms expected() const;

private:
    time_ms shortest_limit_;
    time_ms longest_limit_;
    time_ms limit_;

    /// In ms; negative before the first sample.
    double smoothed_ = -1.0;
    double variation_ = 0.0;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_REPLY_TIME_ESTIMATE_HPP
