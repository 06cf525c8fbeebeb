#include <jaydrift/decide/ownership.hpp>

#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/hand_over.hpp>
#include <jaydrift/decide/membership.hpp>
#include <jaydrift/decide/policy.hpp>
#include <jaydrift/decide/ranking.hpp>
#include <jaydrift/decide/record_writes.hpp>
#include <jaydrift/decide/renewal.hpp>
#include <jaydrift/decide/reported_owner.hpp>
#include <jaydrift/decide/requests.hpp>
#include <jaydrift/decide/takeover.hpp>
#include <jaydrift/decide/voters.hpp>
#include <jaydrift/decide/worker_links.hpp>

#include <algorithm>
#include <limits>

namespace jaydrift::decide::ownership {

namespace {

// Longest time between two checks of all shards, also of those of other
// daemons.
constexpr time_ms check_interval{250};

// Time between two checks whether a shard that is being released has open
// requests left.
constexpr time_ms release_check_interval{100};

// A term with a quorum is given up after this time if a worker holds its epoch
// for another daemon. The next term has a higher epoch.
constexpr time_ms epoch_conflict_limit{5000};

// A term whose authority ended this long ago is given up if workers lost their
// state: their votes do not count for its voter set any more, but do in a new
// term with a higher epoch.
constexpr time_ms lost_state_limit{3000};

// Calls are forgotten after this time, which bounds the memory. A later reply
// has no effect.
constexpr time_ms call_retention{10000};

constexpr time_ms never{std::numeric_limits<std::int64_t>::max()};

void initialize(context& ctx)
{
    auto& ownership = ctx.state.ownership;
    ownership.started_at = ctx.now;
    ownership.rebalanced_at = ctx.now;
    for (auto const& shard : all_shards(ctx.state))
    {
        ownership.shards[shard].shard = shard;
    }
}

/// Writes the term's record if the store lacks it, as after a takeover during a
/// store outage.
void write_missing_record(context& ctx, shard_view& view)
{
    auto const& record = view.own_term->record;
    auto const& stored = view.record;
    if (view.write || !view.own_term->quorum_at
        || !membership::store_available(ctx.state, ctx.now)
        || (stored.epoch == record.epoch && stored.owner == record.owner
            && stored.generation == record.generation))
    {
        return;
    }
    record_writes::start(ctx, view, record);
}

/// Tells whether some workers lost their state and no round has had a quorum
/// for a while: the authority ended `lost_state_limit` ago.
bool voters_lost_state(context& ctx, term_state const& term)
{
    return ctx.now - term.authority_end >= lost_state_limit
           && std::any_of(term.links.begin(), term.links.end(),
                          [](auto const& entry) {
                              return entry.second.state_lost_generation != 0;
                          });
}

/// Tells whether this daemon must give its term up. It may then take the shard
/// over again with a higher epoch.
bool must_give_up(context& ctx, shard_view const& view)
{
    auto const& term = *view.own_term;
    if (term.quorum_at)
    {
        // Before this term is served, its quorum may have gone to the other
        // daemon with the same epoch.
        bool const higher_epoch_due =
            term.epoch_conflict
            && ctx.now - *term.quorum_at >= epoch_conflict_limit;
        return higher_epoch_due || voters_lost_state(ctx, term);
    }
    return term.epoch_conflict
           || (!term.handed_over
               && (reported_owner(ctx.state, view.shard, ctx.now)
                   || best_owner(ctx.state, view.shard, ctx.now)
                          != ctx.state.settings.self.daemon));
}

void advance_term(context& ctx, shard_view& view)
{
    if (must_give_up(ctx, view))
    {
        return takeover::retry_later(ctx, view);
    }
    if (view.own_term->phase != shard_phase::claiming)
    {
        worker_links::sync_with_vm_list(ctx, view);
        worker_links::send_fences(ctx, view);
        takeover::advance(ctx, view);
        renewal::advance(ctx, view);
        write_missing_record(ctx, view);
        voters::advance(ctx, view);
        if (view.own_term->acquired_at)
        {
            worker_links::report_lapsed_leases(ctx, view);
        }
    }
    hand_over::advance(ctx, view);
}

void advance_shard(context& ctx, shard_view& view)
{
    record_writes::advance(ctx, view);
    if (view.own_term)
    {
        advance_term(ctx, view);
    }
    else
    {
        takeover::begin_if_due(ctx, view);
    }
}

/// Returns this daemon's term if it serves the shard with valid authority, or
/// null.
term_state const* find_serving(daemon_state const& state, shard_id const& shard,
                               time_ms now)
{
    auto const found = state.ownership.shards.find(shard);
    if (found == state.ownership.shards.end() || !found->second.own_term)
    {
        return nullptr;
    }
    auto const& term = *found->second.own_term;
    return term.phase == shard_phase::serving && now < term.authority_end
               ? &term
               : nullptr;
}

time_ms next_timer_of(daemon_state const& state, term_state const& term)
{
    auto const last = state.ownership.last_timer;
    auto next = never;
    if (term.phase == shard_phase::waiting)
    {
        auto const waited = *term.quorum_at + state.settings.authority_duration;
        next = waited > last ? waited : never;
    }
    if (term.quorum_at && term.phase != shard_phase::handing_over)
    {
        next = std::min(next, term.next_round);
    }
    if (term.phase == shard_phase::releasing)
    {
        next = std::min(next, last + release_check_interval);
    }
    return next;
}

} // namespace

void on_timer(context& ctx)
{
    auto& ownership = ctx.state.ownership;
    if (!ownership.started_at)
    {
        initialize(ctx);
    }
    ownership.last_timer = ctx.now;
    ownership.last_policy_version = policy::version(ctx.state);
    std::erase_if(ownership.calls, [&](auto const& entry) {
        return ctx.now - entry.second.sent_at >= call_retention;
    });
    advance(ctx, reducer_module::ownership, ownership.watch);
    for (auto& [shard, view] : ownership.shards)
    {
        advance_shard(ctx, view);
    }
    hand_over::rebalance(ctx);
}

void on_epoch_seen(context& ctx, shard_id const& shard, std::uint64_t epoch)
{
    auto const found = ctx.state.ownership.shards.find(shard);
    if (found == ctx.state.ownership.shards.end())
    {
        return;
    }
    auto& view = found->second;
    view.highest_epoch = std::max(view.highest_epoch, epoch);
    if (view.own_term && epoch > view.own_term->record.epoch)
    {
        takeover::step_down(ctx, view, true);
    }
}

void release_all(context& ctx)
{
    auto& ownership = ctx.state.ownership;
    ownership.releasing_all = true;
    for (auto& [shard, view] : ownership.shards)
    {
        if (!view.own_term)
        {
            continue;
        }
        if (!view.own_term->acquired_at)
        {
            takeover::step_down(ctx, view, false);
        }
        else if (view.own_term->phase == shard_phase::serving)
        {
            hand_over::release(ctx, view);
        }
    }
}

bool all_released(daemon_state const& state)
{
    auto const& shards = state.ownership.shards;
    return state.ownership.releasing_all
           && std::none_of(shards.begin(), shards.end(), [](auto const& entry) {
                  return entry.second.own_term.has_value();
              });
}

bool serving(daemon_state const& state, shard_id const& shard, time_ms now)
{
    return find_serving(state, shard, now) != nullptr;
}

std::vector<owned_shard> owned_shards(daemon_state const& state, time_ms now)
{
    std::vector<owned_shard> result;
    for (auto const& [shard, view] : state.ownership.shards)
    {
        bool const owns = view.own_term && view.own_term->acquired_at
                          && view.own_term->phase != shard_phase::handing_over
                          && now < view.own_term->authority_end;
        if (owns)
        {
            result.push_back({shard, view.own_term->record.epoch,
                              renewal::policy_in_force(*view.own_term, now)});
        }
    }
    return result;
}

time_ms next_timer(daemon_state const& state)
{
    auto const& ownership = state.ownership;
    if (!ownership.started_at
        || ownership.last_policy_version != policy::version(state))
    {
        return {};
    }
    auto next = std::min(decide::next_timer(ownership.watch),
                         ownership.last_timer + check_interval);
    for (auto const& [shard, view] : ownership.shards)
    {
        if (view.write && view.write->correlation == 0)
        {
            next = std::min(next, view.write->retry_at);
        }
        if (view.own_term)
        {
            next = std::min(next, next_timer_of(state, *view.own_term));
        }
    }
    return next;
}

} // namespace jaydrift::decide::ownership
