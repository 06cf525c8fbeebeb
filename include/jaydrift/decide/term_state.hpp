#ifndef JAYDRIFT_DECIDE_TERM_STATE_HPP
#define JAYDRIFT_DECIDE_TERM_STATE_HPP

#include <jaydrift/core/request_record.hpp>
#include <jaydrift/core/shard_record.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/decide/pending_policy_version.hpp>
#include <jaydrift/decide/renew_round.hpp>
#include <jaydrift/decide/shard_phase.hpp>
#include <jaydrift/decide/worker_link.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jaydrift::decide {

/// State of one term of this daemon as the owner, or candidate, of a shard.
struct term_state
{
    shard_phase phase = shard_phase::claiming;

    /// Record of the term: its epoch, owner, generation and voters.
    shard_record record;

    /// The record in the store was written with this epoch.
    bool store_vote = false;

    /// The previous owner gave up its authority, so the term need not wait for
    /// it to end.
    bool handed_over = false;

    /// Request records of the previous owner, applied when the shard is
    /// acquired.
    std::vector<request_record> handed_over_requests;

    /// When the takeover began; the first authority counts from then.
    time_ms began_at;

    /// When a quorum of the voters was fenced.
    std::optional<time_ms> quorum_at;

    /// This daemon may serve the shard until then; renewals extend it.
    time_ms authority_end;

    /// When the serving phase was reached for the first time.
    std::optional<time_ms> acquired_at;

    /// The shard's workers by name: those of the VM list, and those that left
    /// it and may still hold a lease.
    std::map<std::string, worker_link, std::less<>> links;

    /// Some worker's tasks were not reported and cannot be any more, or the VM
    /// list may have lacked a worker when the shard was acquired.
    bool missed_inventory = false;

    /// Rounds of renewals that are younger than the authority, oldest first.
    std::vector<renew_round> rounds;
    std::uint64_t last_round = 0;
    time_ms next_round;

    /// Not used: each round finds out itself whether it needs the store's vote.
    bool ask_store = false;

    /// Highest generation of the voter set that a quorum acknowledged; during a
    /// replacement of voters, a quorum of both sets.
    std::uint64_t acknowledged_generation = 0;

    /// When the voters were last checked for replacement.
    time_ms voters_checked_at;

    /// Highest policy version that a fenced worker reported. The shard is not
    /// served before this daemon knows that version.
    std::uint64_t required_policy = 0;

    /// Policy versions that workers were told, oldest first.
    std::vector<pending_policy_version> pending_policy_versions;

    /// A worker holds the same epoch for another daemon.
    bool epoch_conflict = false;

    /// Daemon that the shard is handed to.
    std::string successor;

    /// Correlation number of the outstanding hand-over request.
    std::uint64_t hand_over_call = 0;
    std::uint32_t hand_over_attempts = 0;

    /// A hand-over waits for open requests until then.
    time_ms release_until;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_TERM_STATE_HPP
