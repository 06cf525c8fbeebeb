#ifndef JAYDRIFT_CORE_LOG_SUBJECT_HPP
#define JAYDRIFT_CORE_LOG_SUBJECT_HPP

#include <cstdint>

namespace jaydrift {

/// What a log line is about.
enum class log_subject : std::uint8_t
{
    /// The daemon, its ownership, configuration and membership, the store, or a
    /// worker.
    state,

    /// A single submission, step, task, run or call.
    work
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_LOG_SUBJECT_HPP
