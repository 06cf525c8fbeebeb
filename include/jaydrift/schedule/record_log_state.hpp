#ifndef JAYDRIFT_SCHEDULE_RECORD_LOG_STATE_HPP
#define JAYDRIFT_SCHEDULE_RECORD_LOG_STATE_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/fleet_record.hpp>
#include <jaydrift/schedule/reply_time_estimate.hpp>
#include <jaydrift/schedule/store_transaction.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace jaydrift::schedule {

/// Bounds of the time limit of a transaction. Repeating one does no harm, so
/// the shortest limit is only a few times the normal time of a reply.
inline constexpr time_ms shortest_transaction_limit{150};
inline constexpr time_ms longest_transaction_limit{1200};

/// State of the record log of a shard: the changes to store, and the
/// transaction in flight. There is at most one at a time.
struct record_log_state
{
    /// Number of the last transaction that the store has, and the revision of
    /// the record that holds it.
    std::uint64_t serial = 0;
    std::uint64_t serial_revision = 0;

    /// Transaction in flight; sent again unchanged until the store has it.
    std::optional<store_transaction> in_flight;

    /// Number of the call that carries it; absent between two attempts.
    std::optional<std::uint64_t> call;

    /// What the transaction in flight stores: versions by submission, and the
    /// IDs of removed, of relocated and of cancelled unknown submissions.
    std::vector<std::pair<std::string, std::uint64_t>> in_flight_versions;
    std::vector<std::string> in_flight_removals;
    std::vector<std::string> in_flight_relocations;
    std::vector<std::string> in_flight_cancellations;

    /// Time of the first attempt, and earliest time of the next one.
    time_ms first_sent;
    time_ms retry_at;
    std::uint32_t attempts = 0;

    /// Time of the latest attempt and its time limit.
    time_ms sent_at;
    time_ms time_limit;

    /// Time that the store's reply to a transaction takes.
    reply_time_estimate reply_time{shortest_transaction_limit,
                                   longest_transaction_limit};

    /// Submissions with changes to store, oldest first.
    std::deque<std::string> dirty;

    /// Time at which the wait for further changes began.
    time_ms dirty_since;

    /// Number of doublings of the time for which changes are gathered.
    std::uint32_t gather_doublings = 0;

    /// Time since which a caller waits for a change that is not in flight yet.
    std::optional<time_ms> caller_waits_since;

    /// Fleet record as the store has it, and as the transaction in flight
    /// leaves it.
    fleet_record fleet;
    fleet_record next_fleet;

    /// Number of changes to what the fleet record must hold, and the last one
    /// that the record in the store, or the transaction in flight, includes. A
    /// worker may change while a transaction is in flight.
    std::uint64_t fleet_version = 0;
    std::uint64_t stored_fleet_version = 0;
    std::uint64_t in_flight_fleet_version = 0;

    /// Earliest time at which the learned interference is stored again.
    time_ms next_interference;

    /// IDs of relocations whose records are to be stored or removed.
    std::deque<std::string> new_relocations;
    std::deque<std::string> expired_relocations;

    /// The same of cancels of unknown IDs.
    std::deque<std::string> new_cancellations;
    std::deque<std::string> expired_cancellations;

    /// Ended submissions that are to be removed, since their retention is over.
    std::deque<std::string> expired_submissions;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_RECORD_LOG_STATE_HPP
