#ifndef JAYDRIFT_SCHEDULE_STORE_TRANSACTION_HPP
#define JAYDRIFT_SCHEDULE_STORE_TRANSACTION_HPP

#include <jaydrift/schedule/record_key.hpp>
#include <jaydrift/schedule/store_record.hpp>

#include <cstdint>
#include <utility>
#include <vector>

namespace jaydrift::schedule {

/// A transaction: written as a whole if every expected revision holds.
struct store_transaction
{
    /// Revision 0 means that the record does not exist.
    std::vector<std::pair<record_key, std::uint64_t>> expected;
    std::vector<std::pair<record_key, store_record>> puts;
    std::vector<record_key> removals;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_STORE_TRANSACTION_HPP
