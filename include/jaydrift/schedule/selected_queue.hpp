#ifndef JAYDRIFT_SCHEDULE_SELECTED_QUEUE_HPP
#define JAYDRIFT_SCHEDULE_SELECTED_QUEUE_HPP

#include <jaydrift/schedule/queue.hpp>

#include <cstdint>

namespace jaydrift::schedule {

/// Queue that the host and path of a call name in one version of the
/// configuration.
struct selected_queue
{
    std::uint64_t config_version = 0;
    queue target;

    bool operator==(selected_queue const&) const = default;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_SELECTED_QUEUE_HPP
