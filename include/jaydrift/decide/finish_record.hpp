#ifndef JAYDRIFT_DECIDE_FINISH_RECORD_HPP
#define JAYDRIFT_DECIDE_FINISH_RECORD_HPP

#include <cstdint>
#include <string>

namespace jaydrift::decide {

/// A task finished.
struct finish_record
{
    std::string job;
    std::uint32_t index = 0;
    std::uint32_t attempt = 0;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_FINISH_RECORD_HPP
