#ifndef JAYDRIFT_SCHEDULE_STORE_CALL_HPP
#define JAYDRIFT_SCHEDULE_STORE_CALL_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/read_area.hpp>
#include <jaydrift/schedule/read_record.hpp>
#include <jaydrift/schedule/read_revision.hpp>
#include <jaydrift/schedule/store_transaction.hpp>
#include <jaydrift/schedule/watch_area.hpp>

#include <cstdint>
#include <variant>

namespace jaydrift::schedule {

/// Effect: calls the store; `store_replied` follows with the same number.
struct store_call
{
    /// Number of the call.
    std::uint64_t call = 0;
    std::variant<read_area, read_record, read_revision, watch_area,
                 store_transaction>
        request;

    /// Time after which the call ends as lost.
    time_ms time_limit;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_STORE_CALL_HPP
