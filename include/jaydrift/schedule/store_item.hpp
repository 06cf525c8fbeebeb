#ifndef JAYDRIFT_SCHEDULE_STORE_ITEM_HPP
#define JAYDRIFT_SCHEDULE_STORE_ITEM_HPP

#include <jaydrift/schedule/record_key.hpp>
#include <jaydrift/schedule/store_record.hpp>

#include <cstdint>

namespace jaydrift::schedule {

/// A record as the store holds it, or the deletion of one.
struct store_item
{
    record_key key;

    /// Revision of the last write or of the deletion.
    std::uint64_t revision = 0;
    bool deleted = false;

    /// Meaningless if deleted.
    store_record record;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_STORE_ITEM_HPP
