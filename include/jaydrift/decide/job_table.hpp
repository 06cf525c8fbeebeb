#ifndef JAYDRIFT_DECIDE_JOB_TABLE_HPP
#define JAYDRIFT_DECIDE_JOB_TABLE_HPP

#include <jaydrift/decide/batch_job.hpp>
#include <jaydrift/decide/batch_record.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace jaydrift::decide {

/// The jobs of a shard. What `encode` writes follows from the durable records
/// alone, so that every owner that reads them gets the same jobs. The rest,
/// such as placements and queues, is this owner's own state.
struct job_table
{
    std::map<std::string, batch_job, std::less<>> jobs;

    /// IDs of the closed jobs, oldest first.
    std::deque<std::string> closed;

    /// `order` of the last submission.
    std::uint64_t last_order = 0;

    /// Upper estimate of the length of the table's text, in bytes.
    std::size_t bytes = 0;
};

/// Number of closed jobs that a shard remembers, for repeated submissions. At
/// the design size a shard closes about 300 jobs a day.
inline constexpr std::size_t max_closed_jobs = 200;

/// No job is accepted while the table is larger than this. The store takes
/// snapshots of up to 1 MB, and the text of an open job grows as its tasks end.
inline constexpr std::size_t max_table_bytes = 600'000;

/// A job is parked when a task of it has failed this often. A job that no
/// worker can run is parked as well.
inline constexpr std::uint32_t max_failures = 3;

/// Applies a durable record. Returns false if it changes nothing, like the
/// finish of a task of a cancelled job.
bool apply(job_table& table, batch_record const& record);

/// Erases the oldest closed jobs beyond `max_closed_jobs`, as far as no worker
/// runs a task of them.
void forget_old_jobs(job_table& table);

/// Returns the durable part of a table as text.
std::string encode(job_table const& table);

/// Returns the table that `encode` wrote; an empty text is an empty table.
///
/// @throws field_error if the text is malformed.
job_table decode_table(std::string_view text);

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_JOB_TABLE_HPP
