#ifndef JAYDRIFT_DECIDE_EVICT_RECORD_HPP
#define JAYDRIFT_DECIDE_EVICT_RECORD_HPP

#include <cstdint>
#include <string>

namespace jaydrift::decide {

/// A task was evicted with a checkpoint.
struct evict_record
{
    std::string job;
    std::uint32_t index = 0;
    std::uint32_t attempt = 0;
    std::int64_t checkpoint_ms = 0;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_EVICT_RECORD_HPP
