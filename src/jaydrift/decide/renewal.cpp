#include <jaydrift/decide/renewal.hpp>

#include <jaydrift/core/store_reply.hpp>
#include <jaydrift/decide/batch.hpp>
#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/policy.hpp>
#include <jaydrift/decide/shard_record_text.hpp>
#include <jaydrift/decide/takeover.hpp>
#include <jaydrift/decide/voters.hpp>
#include <jaydrift/decide/worker_links.hpp>
#include <jaydrift/decide/workers.hpp>

#include <algorithm>

namespace jaydrift::decide::renewal {

namespace {

// A worker that leaves this many renewals in a row unanswered is sent no more,
// so that its lease ends at a known time.
constexpr std::uint32_t failure_limit = 2;

// Bounds the memory. Beyond it, a new version replaces the newest one, so that
// the older ones still come into force.
constexpr std::size_t max_pending_policy_versions = 8;

/// Returns the round with this number, or null if it is too old.
renew_round* find_round(term_state& term, std::uint64_t number)
{
    auto const found = std::find_if(
        term.rounds.begin(), term.rounds.end(),
        [&](renew_round const& round) { return round.number == number; });
    return found == term.rounds.end() ? nullptr : &*found;
}

/// Adds a policy version that is about to be sent to the workers.
void add_pending_policy_version(context& ctx, term_state& term,
                                std::uint64_t version)
{
    if (!term.pending_policy_versions.empty()
        && term.pending_policy_versions.back().version >= version)
    {
        return;
    }
    // Until the shard is acquired, only the previous owner can have sent
    // starts.
    auto const last_start_deadline =
        term.acquired_at
            ? term.authority_end
            : *term.quorum_at + ctx.state.settings.authority_duration;
    if (term.pending_policy_versions.size() == max_pending_policy_versions)
    {
        term.pending_policy_versions.pop_back();
    }
    term.pending_policy_versions.push_back(
        {version, last_start_deadline, false});
}

/// Removes rounds that are too old and policy versions that are superseded.
void prune(context& ctx, term_state& term)
{
    std::erase_if(term.rounds, [&](renew_round const& round) {
        return ctx.now - round.sent_at >= ctx.state.settings.authority_duration;
    });
    auto const in_force = policy_in_force(term, ctx.now);
    std::erase_if(term.pending_policy_versions,
                  [&](pending_policy_version const& pending) {
                      return pending.version < in_force;
                  });
}

/// Extends the authority if a quorum accepted the round, and records which
/// policy versions a majority of the voters has stored.
void evaluate(context& ctx, shard_view& view, renew_round const& round)
{
    auto& term = *view.own_term;
    if (voters::has_quorum(term, round.accepted, round.store_vote))
    {
        term.authority_end =
            std::max(term.authority_end,
                     round.sent_at + ctx.state.settings.authority_duration);
        term.acknowledged_generation =
            std::max(term.acknowledged_generation, round.generation);
    }
    // The store does not hold the version that the workers were told, so its
    // vote does not count here.
    if (term.record.voters.empty()
        || voters::has_quorum(term, round.accepted, false))
    {
        for (auto& pending : term.pending_policy_versions)
        {
            pending.stored_by_majority =
                pending.stored_by_majority
                || pending.version <= round.policy_version;
        }
    }
    takeover::advance(ctx, view);
}

void send(context& ctx, shard_view& view, renew_round const& round,
          std::string const& worker, worker_link& link)
{
    auto const& settings = ctx.state.settings;
    auto const& term = *view.own_term;
    auto const* vm = workers::find(ctx.state, worker);
    if (vm == nullptr || !link.clock)
    {
        return;
    }
    // Counts from the end of the authority at the latest, so that a successor
    // knows when the last lease of this term ends.
    auto const lease_end =
        std::min(ctx.now, term.authority_end) + settings.worker_lease;
    link.lease_end = std::max(link.lease_end, lease_end);
    link.lapse_reported = false;
    link.renew_at = ctx.now + settings.non_voter_renew_interval;
    renew_request request{
        {view.shard, term.record.epoch, term.record.owner, round.generation},
        lease_end + link.clock->offset,
        round.policy_version,
        {}};
    if (term.acquired_at)
    {
        request.acknowledged = batch::acknowledged_tasks(ctx.state, worker);
    }
    auto const call =
        ctx.ask_worker(reducer_module::ownership, worker, vm->address,
                       std::move(request), settings.worker_timeout);
    ctx.state.ownership.calls[call] = {view.shard, term.record.epoch,
                                       round.number, ctx.now};
}

/// Tells whether the next round is expected to need the store's vote: the
/// workers that accepted the last round, or are fenced if there was none, are a
/// quorum only with it.
bool store_vote_decides(term_state const& term)
{
    voters::name_set accepted;
    if (!term.rounds.empty())
    {
        accepted = term.rounds.back().accepted;
    }
    else
    {
        for (auto const& [name, link] : term.links)
        {
            if (link.fenced)
            {
                accepted.insert(name);
            }
        }
    }
    return !voters::has_quorum(term, accepted, false)
           && voters::has_quorum(term, accepted, true);
}

/// Reads the shard's record, which counts as the store's vote for the round if
/// it still names this term.
void send_record_read(context& ctx, shard_view& view, renew_round const& round)
{
    auto const call = ctx.ask_store(reducer_module::ownership,
                                    read_request{shard_record_key(view.shard)});
    ctx.state.ownership.calls[call] = {view.shard, view.own_term->record.epoch,
                                       round.number, ctx.now};
}

/// Tells whether the renewal interval is over or the policy version changed.
bool round_due(context& ctx, term_state const& term)
{
    if (!term.quorum_at || term.phase == shard_phase::handing_over)
    {
        return false;
    }
    return ctx.now >= term.next_round || term.pending_policy_versions.empty()
           || term.pending_policy_versions.back().version
                  < policy::version(ctx.state);
}

} // namespace

void advance(context& ctx, shard_view& view)
{
    auto& term = *view.own_term;
    if (!round_due(ctx, term))
    {
        return;
    }
    bool const needs_store = store_vote_decides(term);
    prune(ctx, term);
    auto const version = policy::version(ctx.state);
    add_pending_policy_version(ctx, term, version);
    term.next_round = ctx.now + ctx.state.settings.renew_interval;
    auto const& round =
        term.rounds.emplace_back(renew_round{++term.last_round,
                                             ctx.now,
                                             term.record.generation,
                                             version,
                                             {},
                                             false});
    for (auto& [name, link] : term.links)
    {
        if (link.fenced
            && (voters::is_voter(term, name) || ctx.now >= link.renew_at))
        {
            send(ctx, view, round, name, link);
        }
    }
    if (needs_store)
    {
        send_record_read(ctx, view, round);
    }
}

void send_to(context& ctx, shard_view& view, std::string_view worker)
{
    auto& term = *view.own_term;
    auto const link = term.links.find(worker);
    if (link != term.links.end() && !term.rounds.empty())
    {
        send(ctx, view, term.rounds.back(), link->first, link->second);
    }
}

void on_replied(context& ctx, shard_view& view, term_call const& call,
                std::string_view worker, worker_reply const& reply)
{
    auto& term = *view.own_term;
    auto& link = term.links.find(worker)->second;
    if (reply.outcome == worker_outcome::lease_lapsed)
    {
        return worker_links::mark_unfenced(term, link);
    }
    if (reply.outcome != worker_outcome::ok)
    {
        worker_links::on_epoch_refused(ctx, view, worker, reply);
        return;
    }
    link.failures = 0;
    link.answered_at = ctx.now;
    worker_links::observe_clock(ctx, link, reply);
    if (auto* round = find_round(term, call.round))
    {
        round->accepted.emplace(worker);
        evaluate(ctx, view, *round);
    }
    if (view.own_term && view.own_term->acquired_at)
    {
        batch::on_reports(ctx, worker, reply.tasks);
        batch::on_usage(ctx, worker, reply.usage);
    }
}

void on_failed(context& ctx, shard_view& view, term_call const&,
               std::string_view worker)
{
    auto& link = view.own_term->links.find(worker)->second;
    link.renew_at = ctx.now;
    if (link.fenced && ++link.failures >= failure_limit)
    {
        worker_links::mark_unfenced(*view.own_term, link);
    }
}

void on_record_read(context& ctx, shard_view& view, term_call const& call,
                    store_reply const& reply)
{
    auto& term = *view.own_term;
    auto* round = find_round(term, call.round);
    for (auto const& entry : reply.entries)
    {
        auto const record = decode_shard_record(entry.value);
        if (entry.key == shard_record_key(view.shard) && record
            && round != nullptr && record->epoch == term.record.epoch
            && record->owner == term.record.owner)
        {
            round->store_vote = true;
        }
    }
    if (round != nullptr && round->store_vote)
    {
        evaluate(ctx, view, *round);
    }
}

std::uint64_t policy_in_force(term_state const& term, time_ms now)
{
    std::uint64_t version = 0;
    for (auto const& pending : term.pending_policy_versions)
    {
        if (pending.stored_by_majority && pending.last_start_deadline <= now)
        {
            version = std::max(version, pending.version);
        }
    }
    return version;
}

} // namespace jaydrift::decide::renewal
