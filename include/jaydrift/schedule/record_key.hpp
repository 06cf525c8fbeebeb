#ifndef JAYDRIFT_SCHEDULE_RECORD_KEY_HPP
#define JAYDRIFT_SCHEDULE_RECORD_KEY_HPP

#include <jaydrift/schedule/record_kind.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace jaydrift::schedule {

/// Identifies a record in the store.
struct record_key
{
    record_kind kind = record_kind::other;

    /// Distinguishes records of one kind, for instance by the ID of a worker;
    /// empty where there is only one.
    std::string name;

    /// Shard that the record belongs to; 0 for records of no shard.
    std::uint32_t shard = 0;

    auto operator<=>(record_key const&) const = default;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_RECORD_KEY_HPP
