#ifndef JAYDRIFT_SCHEDULE_WATCH_AREA_HPP
#define JAYDRIFT_SCHEDULE_WATCH_AREA_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/store_area.hpp>

#include <cstdint>

namespace jaydrift::schedule {

/// Request to the store: waits for changes of an area.
struct watch_area
{
    store_area area = store_area::operators;

    /// Changes of later revisions are returned.
    std::uint64_t after = 0;

    /// Time after which the store answers even without changes.
    time_ms wait;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_WATCH_AREA_HPP
