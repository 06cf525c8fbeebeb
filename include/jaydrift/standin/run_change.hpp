#ifndef JAYDRIFT_STANDIN_RUN_CHANGE_HPP
#define JAYDRIFT_STANDIN_RUN_CHANGE_HPP

#include <cstdint>

namespace jaydrift::standin {

/// Change of a run in the run log.
enum class run_change : std::uint8_t
{
    started,
    ended,
    /// The executor refused the request, so it was not run.
    withdrawn
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_RUN_CHANGE_HPP
