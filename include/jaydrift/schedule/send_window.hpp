#ifndef JAYDRIFT_SCHEDULE_SEND_WINDOW_HPP
#define JAYDRIFT_SCHEDULE_SEND_WINDOW_HPP

#include <jaydrift/core/time_ms.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace jaydrift::schedule {

/// Bounds the bytes of requests without a reply so that the queue of this
/// daemon's link and of its threads stays short.
///
/// A delay-based window in the manner of LEDBAT (RFC 6817) and Swift (Kumar et
/// al., SIGCOMM 2020): the shortest reply time ever seen is that without a
/// queue; the shortest of the last few shows the queue. The window grows while
/// the queue is shorter than a target, and shrinks in proportion to the excess,
/// once in a reply time, otherwise.
class send_window
{
public:
    /// Bytes that may always be in flight.
    static constexpr std::int64_t min_bytes = 16384;

    /// Returns whether another request may be sent.
    bool open() const { return in_flight_ < window_; }

    /// Returns whether a quarter of the window is free, so that it is worth the
    /// effort to look for requests to send.
    bool has_room() const { return in_flight_ <= window_ - window_ / 4; }

    /// A request was sent.
    void sent(std::int64_t bytes) { in_flight_ += bytes; }

    /// A request has ended without a reply.
    void dropped(std::int64_t bytes) { in_flight_ -= bytes; }

    /// The reply to a request has come.
    void replied(std::int64_t bytes, time_ms reply_time, time_ms now);

    std::int64_t in_flight_bytes() const { return in_flight_; }
    std::int64_t window_bytes() const { return window_; }

    /// Time that requests wait in queues, as the last replies show it.
    time_ms queueing_delay() const;

private:
    static constexpr std::size_t sample_count = 8;

    void shrink(time_ms delay, time_ms reply_time, time_ms now);

    std::int64_t in_flight_ = 0;
    std::int64_t window_ = min_bytes;

    /// The last reply times, in a ring of which `samples_` were filled ever.
    std::array<time_ms, sample_count> recent_{};
    std::size_t samples_ = 0;
    time_ms shortest_;
    time_ms next_shrink_;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_SEND_WINDOW_HPP
