#ifndef JAYDRIFT_APP_TIMELINE_HPP
#define JAYDRIFT_APP_TIMELINE_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include <jaydrift/core/timeline_event.hpp>

namespace jaydrift::app {

/// Keeps the last `capacity` events of a process; a new event replaces the
/// oldest one if there is no room. All functions may be called on any thread.
class timeline
{
public:
    /// `process` is the name that the events carry.
    ///
    /// @pre `capacity` is not 0.
    timeline(std::string_view process, std::size_t capacity);

    /// Adds an event at the current wall-clock time. `request` and `task` are
    /// the IDs that the event is about, or empty.
    void record(std::string_view name, std::string_view request = {},
                std::string_view task = {}, std::string_view detail = {});

    /// Returns the events with a sequence number above `sequence`, oldest
    /// first. The first event has number 1.
    std::vector<timeline_event> events_after(std::uint64_t sequence) const;

private:
    std::string const process_;
    std::size_t const capacity_;
    mutable std::mutex mutex_;
    std::uint64_t last_sequence_ = 0;
    std::deque<timeline_event> events_;
};

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_TIMELINE_HPP
