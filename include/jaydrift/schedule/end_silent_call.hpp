#ifndef JAYDRIFT_SCHEDULE_END_SILENT_CALL_HPP
#define JAYDRIFT_SCHEDULE_END_SILENT_CALL_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>

namespace jaydrift::schedule {

/// Effect: ends a call to the store, or one to another daemon for the
/// operators' area, as lost if no byte of its reply has arrived for a time; a
/// reply that is on its way goes on. Ignored if the call has ended.
struct end_silent_call
{
    /// Number of the call.
    std::uint64_t call = 0;
    time_ms silent_for;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_END_SILENT_CALL_HPP
