#ifndef JAYDRIFT_SCHEDULE_CALL_VERB_HPP
#define JAYDRIFT_SCHEDULE_CALL_VERB_HPP

#include <cstdint>

namespace jaydrift::schedule {

/// What a caller asks for.
enum class call_verb : std::uint8_t
{
    submit,

    /// State of a submission or, if the path names a queue only, the number of
    /// its submissions that have not started.
    show,
    cancel
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_CALL_VERB_HPP
