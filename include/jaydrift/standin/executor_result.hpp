#ifndef JAYDRIFT_STANDIN_EXECUTOR_RESULT_HPP
#define JAYDRIFT_STANDIN_EXECUTOR_RESULT_HPP

#include <cstdint>

namespace jaydrift::standin {

/// How an execution on an executor ended.
enum class executor_result : std::uint8_t
{
    finished,
    failed,
    /// The executor refused the request without running it.
    not_run
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_EXECUTOR_RESULT_HPP
