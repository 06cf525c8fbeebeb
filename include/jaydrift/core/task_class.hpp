#ifndef JAYDRIFT_CORE_TASK_CLASS_HPP
#define JAYDRIFT_CORE_TASK_CLASS_HPP

#include <cstdint>

namespace jaydrift {

/// Scheduling class of a task; a policy gives each class its share of a VM.
/// Requests of callers are `urgent` or `service`, and `urgent` ones start
/// first. Tasks of batch jobs are `batch` or `background`, and `background`
/// ones are evicted first.
enum class task_class : std::uint8_t
{
    urgent,
    service,
    batch,
    background
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_TASK_CLASS_HPP
