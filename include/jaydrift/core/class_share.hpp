#ifndef JAYDRIFT_CORE_CLASS_SHARE_HPP
#define JAYDRIFT_CORE_CLASS_SHARE_HPP

#include <jaydrift/core/task_class.hpp>

#include <cstdint>

namespace jaydrift {

/// Largest share of each VM that the tasks of a class may hold.
struct class_share
{
    task_class priority = task_class::batch;
    std::uint32_t percent = 100;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_CLASS_SHARE_HPP
