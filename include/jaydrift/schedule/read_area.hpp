#ifndef JAYDRIFT_SCHEDULE_READ_AREA_HPP
#define JAYDRIFT_SCHEDULE_READ_AREA_HPP

#include <jaydrift/schedule/store_area.hpp>

#include <cstdint>

namespace jaydrift::schedule {

/// Request to the store: reads all records of an area.
struct read_area
{
    store_area area = store_area::operators;

    /// Used only if the area is `submissions`.
    std::uint32_t shard = 0;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_READ_AREA_HPP
