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

/// The jobs of a shard, as far as their records are durable.
struct job_table
{
    std::map<std::string, batch_job, std::less<>> jobs;
    /// Closed jobs, oldest first.
    std::deque<std::string> closed;
    std::uint64_t last_order = 0;
};

/// Number of closed jobs that a shard remembers, for repeated submissions.
inline constexpr std::size_t max_closed_jobs = 1000;

/// A task that failed this often parks its job.
inline constexpr std::uint32_t max_failures = 3;

/// Applies a durable record. Returns false if it changes nothing, as a finish
/// of a cancelled job.
bool apply(job_table& table, batch_record const& record);

/// Forgets the oldest closed jobs beyond the limit.
void forget_old_jobs(job_table& table);

/// Returns the durable part of a table as text.
std::string encode(job_table const& table);

/// Returns the table that `encode` wrote; an empty text is an empty table.
///
/// @throws field_error if the text is malformed.
job_table decode_table(std::string_view text);

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_JOB_TABLE_HPP
