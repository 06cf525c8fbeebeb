#ifndef JAYDRIFT_DECIDE_FAIL_RECORD_HPP
#define JAYDRIFT_DECIDE_FAIL_RECORD_HPP

#include <cstdint>
#include <string>

namespace jaydrift::decide {

/// An attempt of a task failed.
struct fail_record
{
    std::string job;
    std::uint32_t index = 0;
    std::uint32_t attempt = 0;
    std::string reason;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_FAIL_RECORD_HPP
