#ifndef JAYDRIFT_SCHEDULE_STORE_STATUS_HPP
#define JAYDRIFT_SCHEDULE_STORE_STATUS_HPP

#include <cstdint>

namespace jaydrift::schedule {

/// How a call to the store ended.
enum class store_status : std::uint8_t
{
    ok,

    /// An expected revision did not hold; nothing was written.
    conflict,

    /// The store no longer has the changes that a watch asked for; the area
    /// must be read again.
    compacted,
    not_found,

    /// The store was overloaded and did nothing.
    refused,

    /// No reply, or one that cannot be decoded. A write may have been carried
    /// out or may be carried out later.
    lost
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_STORE_STATUS_HPP
