#include <jaydrift/app/timeline.hpp>

#include <algorithm>
#include <chrono>

namespace jaydrift::app {

namespace {

/// Returns the time since the Unix epoch. Events of several VMs are ordered by
/// it, and only wall-clock time is common to them.
time_ms wall_clock()
{
    using namespace std::chrono;
    auto const since_epoch = system_clock::now().time_since_epoch();
    return time_ms(duration_cast<milliseconds>(since_epoch).count());
}

} // namespace

timeline::timeline(std::string_view process, std::size_t capacity)
    : process_(process), capacity_(capacity)
{
}

void timeline::record(std::string_view name, std::string_view request,
                      std::string_view task, std::string_view detail)
{
    std::lock_guard const lock(mutex_);
    if (events_.size() == capacity_)
    {
        events_.pop_front();
    }
    events_.push_back({wall_clock(), ++last_sequence_, process_,
                       std::string(name), std::string(request),
                       std::string(task), std::string(detail)});
}

std::vector<timeline_event> timeline::events_after(std::uint64_t sequence) const
{
    std::lock_guard const lock(mutex_);
    auto const first = std::ranges::upper_bound(events_, sequence, {},
                                                &timeline_event::sequence);
    return {first, events_.end()};
}

} // namespace jaydrift::app
