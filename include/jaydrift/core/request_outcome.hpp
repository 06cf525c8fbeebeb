#ifndef JAYDRIFT_CORE_REQUEST_OUTCOME_HPP
#define JAYDRIFT_CORE_REQUEST_OUTCOME_HPP

#include <cstdint>

namespace jaydrift {

/// What a caller is told about its request.
enum class request_outcome : std::uint8_t
{
    /// The request ran and its whole answer is attached.
    completed,

    /// The request was not run and will not run.
    not_run,

    /// The request may have run.
    unknown
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_REQUEST_OUTCOME_HPP
