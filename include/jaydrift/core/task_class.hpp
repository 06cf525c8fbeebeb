#ifndef JAYDRIFT_CORE_TASK_CLASS_HPP
#define JAYDRIFT_CORE_TASK_CLASS_HPP

#include <cstdint>

namespace jaydrift {

/// Scheduling class of a task; a policy gives each class its share of a VM.
enum class task_class : std::uint8_t
{
    urgent,
    service,
    batch,
    background
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_TASK_CLASS_HPP
