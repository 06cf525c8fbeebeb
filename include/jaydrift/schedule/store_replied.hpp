#ifndef JAYDRIFT_SCHEDULE_STORE_REPLIED_HPP
#define JAYDRIFT_SCHEDULE_STORE_REPLIED_HPP

#include <jaydrift/core/reply_progress.hpp>
#include <jaydrift/schedule/store_item.hpp>
#include <jaydrift/schedule/store_status.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace jaydrift::schedule {

/// Event: a call to the store has ended.
struct store_replied
{
    /// Number of the call.
    std::uint64_t call = 0;
    store_status status = store_status::lost;

    /// After a read or watch, the revision of the store up to which `items`
    /// shows the changes; after a write, the revision of the written records.
    std::uint64_t revision = 0;

    /// Records that were read or have changed. After a conflict, the present
    /// content of the records whose revisions were expected.
    std::vector<store_item> items;

    /// Records whose key or revision cannot be read.
    std::size_t unreadable_items = 0;

    /// How much of the reply arrived, also if the call was lost; of a read in
    /// several parts, that of the last part.
    reply_progress progress = {};
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_STORE_REPLIED_HPP
