#ifndef JAYDRIFT_DECIDE_RECORD_WRITE_HPP
#define JAYDRIFT_DECIDE_RECORD_WRITE_HPP

#include <jaydrift/core/shard_record.hpp>
#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <string>

namespace jaydrift::decide {

/// Write of a shard's record that is not known yet to have succeeded or failed.
struct record_write
{
    shard_record value;

    /// Stored with the record; tells this write from all others when the record
    /// is read back.
    std::string token;

    /// Revision of the record that the write replaces; 0 if there is none.
    std::uint64_t expected_revision = 0;

    /// Correlation number of the outstanding call; 0 means that the next call
    /// is due at `retry_at`.
    std::uint64_t correlation = 0;

    /// The next or outstanding call reads the record back instead of writing.
    bool reading = false;

    time_ms retry_at;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_RECORD_WRITE_HPP
