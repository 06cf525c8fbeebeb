#ifndef JAYDRIFT_DECIDE_EVICT_RECORD_HPP
#define JAYDRIFT_DECIDE_EVICT_RECORD_HPP

#include <cstdint>
#include <string>

namespace jaydrift::decide {

/// An attempt of a task was evicted from its worker.
struct evict_record
{
    std::string job;
    std::uint32_t index = 0;
    std::uint32_t attempt = 0;

    /// Run time that the task's checkpoint saves, in milliseconds.
    std::int64_t checkpoint_ms = 0;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_EVICT_RECORD_HPP
