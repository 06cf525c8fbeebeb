#ifndef JAYDRIFT_SCHEDULE_SIMULATED_STORE_TEST_HPP
#define JAYDRIFT_SCHEDULE_SIMULATED_STORE_TEST_HPP

#include <jaydrift/schedule/read_area.hpp>
#include <jaydrift/schedule/store_call.hpp>
#include <jaydrift/schedule/store_replied.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace jaydrift::schedule::testing {

/// The platform's store in memory, with linearizable replies.
class simulated_store
{
public:
    store_replied read(read_area const& request);
    store_replied read(read_record const& request);
    store_replied read(read_revision const& request);
    store_replied write(store_transaction const& request);

    /// Returns the changes after a revision, or nothing if there are none yet.
    std::optional<store_replied> changes(watch_area const& request);

    /// Writes or deletes a record without conditions, as an operator or a
    /// worker does.
    void put(record_key const& key, store_record const& record);
    void remove(record_key const& key);

    /// Discards the history, so that watches of earlier revisions fail as
    /// compacted.
    void compact();

    std::map<record_key, store_item> const& items() const { return items_; }

private:
    void append_history(store_item const& item);

    std::map<record_key, store_item> items_;
    std::vector<store_item> history_;
    std::uint64_t revision_ = 1;

    /// Watches from an earlier revision than this one are answered as
    /// compacted.
    std::uint64_t compacted_ = 0;
};

} // namespace jaydrift::schedule::testing

#endif // JAYDRIFT_SCHEDULE_SIMULATED_STORE_TEST_HPP
