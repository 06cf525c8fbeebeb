#ifndef JAYDRIFT_SCHEDULE_CONFIGURATION_HPP
#define JAYDRIFT_SCHEDULE_CONFIGURATION_HPP

#include <jaydrift/schedule/queue.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace jaydrift::schedule {

/// The operators' configuration. Of all versions that this process has read,
/// the highest is in force. A process that starts later may read and use a
/// lower one.
struct configuration
{
    std::uint64_t version = 0;
    std::vector<queue> queues;

    /// For each queue that was left out, what is wrong with it.
    std::vector<std::string> unreadable_queues;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_CONFIGURATION_HPP
