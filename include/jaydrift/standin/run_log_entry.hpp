#ifndef JAYDRIFT_STANDIN_RUN_LOG_ENTRY_HPP
#define JAYDRIFT_STANDIN_RUN_LOG_ENTRY_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/standin/run_change.hpp>

#include <cstdint>
#include <string>

namespace jaydrift::standin {

/// Entry of a worker's run log, which has every start and end of a run.
struct run_log_entry
{
    time_ms at;
    std::string task;
    std::uint32_t attempt = 0;
    run_change change = run_change::started;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_RUN_LOG_ENTRY_HPP
