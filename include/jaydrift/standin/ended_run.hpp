#ifndef JAYDRIFT_STANDIN_ENDED_RUN_HPP
#define JAYDRIFT_STANDIN_ENDED_RUN_HPP

#include <jaydrift/core/time_ms.hpp>

#include <string>

namespace jaydrift::standin {

/// Ended task, to be forgotten once the retention time has passed.
struct ended_run
{
    time_ms ended_at;
    std::string task;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_ENDED_RUN_HPP
