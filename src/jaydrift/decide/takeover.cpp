#include <jaydrift/decide/takeover.hpp>

#include <jaydrift/decide/batch.hpp>
#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/journal.hpp>
#include <jaydrift/decide/membership.hpp>
#include <jaydrift/decide/ownership.hpp>
#include <jaydrift/decide/policy.hpp>
#include <jaydrift/decide/ranking.hpp>
#include <jaydrift/decide/record_writes.hpp>
#include <jaydrift/decide/renewal.hpp>
#include <jaydrift/decide/reported_owner.hpp>
#include <jaydrift/decide/requests.hpp>
#include <jaydrift/decide/stop.hpp>
#include <jaydrift/decide/voters.hpp>
#include <jaydrift/decide/worker_links.hpp>
#include <jaydrift/decide/workers.hpp>

#include <algorithm>

namespace jaydrift::decide::takeover {

namespace {

// A live daemon that the record or a hand-over names as the owner gets this
// many times `suspect_after` to serve the shard before another one takes over.
constexpr std::int64_t suspect_multiple = 3;

// Daemons of another region wait this long. When the network link between two
// regions comes back, they must not take shards from owners that are alive.
constexpr time_ms other_region_delay{10000};

// Wait after a conflict with another candidate. The random part lets one of
// them go first.
constexpr std::uint64_t conflict_delay_ms = 200;
constexpr std::uint64_t conflict_delay_spread_ms = 800;

// Wait after another daemon took the shard. It doubles each time, so that two
// daemons that cannot reach each other do not take a shard from one another in
// turn.
constexpr time_ms superseded_delay{5000};
constexpr std::uint32_t max_doublings = 4;

// A term that was served for at least this long resets the doubling.
constexpr time_ms stable_term{60000};

/// Returns how long a shard must have been without an owner before this daemon
/// takes it over.
time_ms takeover_delay(context& ctx, shard_view const& view)
{
    auto const& settings = ctx.state.settings;
    if (view.shard.region != settings.self.region)
    {
        return other_region_delay;
    }
    auto const& owner =
        view.expected_owner.empty() ? view.record.owner : view.expected_owner;
    bool const may_be_taking_over =
        owner != settings.self.daemon && !owner.empty()
        && membership::live(ctx.state, owner, ctx.now);
    return may_be_taking_over
               ? time_ms(settings.suspect_after.count() * suspect_multiple)
               : time_ms{};
}

/// Tells whether this daemon has run for long enough to have heard from the
/// live daemons.
bool past_startup(context& ctx)
{
    auto const& ownership = ctx.state.ownership;
    return ownership.started_at
           && ctx.now - *ownership.started_at
                  >= ctx.state.settings.suspect_after;
}

/// Tells whether the VM list has arrived, as far as a takeover of the shard
/// needs it.
bool vm_list_known(daemon_state const& state, shard_view const& view)
{
    if (!workers::of_shard(state, view.shard).empty())
    {
        return true;
    }
    // A shard without workers is owned by the store's vote alone, but only when
    // the VM list has arrived.
    bool const has_voters = view.revision != 0 && !view.record.voters.empty();
    auto const shards = ownership::all_shards(state);
    return !has_voters
           && std::any_of(shards.begin(), shards.end(),
                          [&](shard_id const& shard) {
                              return !workers::of_shard(state, shard).empty();
                          });
}

bool policy_known(context& ctx, term_state const& term)
{
    return policy::version(ctx.state) >= term.required_policy;
}

/// Tells whether the VM list names every worker that the previous owner used:
/// the store replies, and has done so for long enough to have sent the list
/// again.
bool vm_list_current(context& ctx, term_state const& term)
{
    auto const& settings = ctx.state.settings;
    return term.store_vote
           && membership::store_available_for(ctx.state, ctx.now,
                                              settings.vm_list_interval
                                                  + settings.store_timeout);
}

/// Begins to serve the shard: passes on to the other modules what the workers
/// and the previous owner reported.
void acquire(context& ctx, shard_view& view)
{
    auto& term = *view.own_term;
    term.missed_inventory = !vm_list_current(ctx, term);
    term.phase = shard_phase::serving;
    term.acquired_at = ctx.now;
    term.voters_checked_at = ctx.now;
    for (auto const& name : term.record.voters)
    {
        term.missed_inventory =
            term.missed_inventory || !term.links.contains(name);
    }
    for (auto& [name, link] : term.links)
    {
        if (link.inventoried)
        {
            requests::on_inventory(ctx, view.shard, name, link.inventory);
            batch::on_inventory(ctx, view.shard, name, link.inventory);
            link.inventory.clear();
        }
    }
    if (term.handed_over)
    {
        requests::on_handed_over(ctx, view.shard, term.handed_over_requests);
        term.handed_over_requests.clear();
    }
    view.expected_owner.clear();
    ctx.log(log_level::info, "ownership",
            "Serving shard " + to_string(view.shard) + " with epoch "
                + std::to_string(term.record.epoch) + '.');
    ctx.add_timeline_event("shard_acquired", {}, {}, to_string(view.shard));
    auto const epoch = term.record.epoch;
    requests::on_shard_acquired(ctx, view.shard);
    batch::on_shard_acquired(ctx, view.shard);
    journal::load(ctx, view.shard, epoch);
}

/// Goes to the waiting phase. The authority counts from the start of the
/// takeover. The previous owner's authority ends at the latest
/// `settings.authority_duration` from now, and its last lease
/// `settings.worker_lease` after that.
void on_quorum_fenced(context& ctx, shard_view& view)
{
    auto const& settings = ctx.state.settings;
    auto& term = *view.own_term;
    term.phase = shard_phase::waiting;
    term.quorum_at = ctx.now;
    term.authority_end = term.began_at + settings.authority_duration;
    term.next_round = ctx.now;
    for (auto& [name, link] : term.links)
    {
        link.lease_end =
            ctx.now + settings.authority_duration + settings.worker_lease;
    }
    renewal::advance(ctx, view);
}

} // namespace

void begin_if_due(context& ctx, shard_view& view)
{
    auto const& state = ctx.state;
    bool const other_region = view.shard.region != state.settings.self.region;
    if (reported_owner(state, view.shard, ctx.now)
        || (other_region && !membership::store_available(state, ctx.now)))
    {
        view.unserved_since.reset();
        return;
    }
    view.unserved_since = view.unserved_since.value_or(ctx.now);
    if (!past_startup(ctx) || state.ownership.releasing_all
        || stop::requested(state) || ctx.now < view.retry_at
        || ctx.now - *view.unserved_since < takeover_delay(ctx, view)
        || best_owner(state, view.shard, ctx.now) != state.settings.self.daemon)
    {
        return;
    }
    begin(ctx, view, view.highest_epoch + 1, false);
}

bool begin(context& ctx, shard_view& view, std::uint64_t epoch,
           bool handed_over)
{
    auto const& state = ctx.state;
    bool const store = membership::store_available(state, ctx.now);
    if (!vm_list_known(state, view)
        || (view.revision == 0 && !(store && state.ownership.watch.loaded)))
    {
        return false;
    }
    auto record = view.record;
    if (view.revision == 0)
    {
        record.generation = 1;
        record.voters = voters::choose_initial(state, view);
    }
    record.shard = view.shard;
    record.epoch = epoch;
    record.owner = state.settings.self.daemon;
    view.highest_epoch = std::max(view.highest_epoch, epoch);
    view.own_term.emplace();
    view.own_term->record = record;
    view.own_term->handed_over = handed_over;
    view.own_term->began_at = ctx.now;
    ctx.log(log_level::info, "ownership",
            "Taking over shard " + to_string(view.shard) + " with epoch "
                + std::to_string(epoch) + '.');
    if (store)
    {
        record_writes::start(ctx, view, record);
        return true;
    }
    view.write.reset();
    start_fencing(ctx, view);
    return true;
}

void start_fencing(context& ctx, shard_view& view)
{
    view.own_term->phase = shard_phase::fencing;
    worker_links::sync_with_vm_list(ctx, view);
    worker_links::send_fences(ctx, view);
    advance(ctx, view);
}

void advance(context& ctx, shard_view& view)
{
    auto& term = *view.own_term;
    if (term.phase == shard_phase::fencing)
    {
        voters::name_set fenced;
        for (auto const& [name, link] : term.links)
        {
            if (link.fenced)
            {
                fenced.insert(name);
            }
        }
        if (voters::has_quorum(term, fenced, term.store_vote))
        {
            on_quorum_fenced(ctx, view);
        }
    }
    if (term.phase != shard_phase::waiting || ctx.now >= term.authority_end
        || !policy_known(ctx, term))
    {
        return;
    }
    bool const all_fenced =
        vm_list_current(ctx, term) && worker_links::all_fenced(term);
    if (term.handed_over || all_fenced
        || ctx.now >= *term.quorum_at + ctx.state.settings.authority_duration)
    {
        acquire(ctx, view);
    }
}

void step_down(context& ctx, shard_view& view, bool superseded)
{
    auto const acquired = view.own_term->acquired_at;
    if (acquired && ctx.now - *acquired >= stable_term)
    {
        view.superseded_count = 0;
    }
    ctx.log(superseded ? log_level::warning : log_level::info, "ownership",
            "Giving up shard " + to_string(view.shard) + " with epoch "
                + std::to_string(view.own_term->record.epoch) + '.');
    view.own_term.reset();
    view.write.reset();
    view.unserved_since = ctx.now;
    view.better_owner_since.reset();
    if (superseded)
    {
        auto const doublings = std::min(view.superseded_count, max_doublings);
        view.retry_at =
            ctx.now + time_ms(superseded_delay.count() << doublings);
        ++view.superseded_count;
    }
    if (acquired)
    {
        ctx.add_timeline_event("shard_lost", {}, {}, to_string(view.shard));
        requests::on_shard_lost(ctx, view.shard);
        batch::on_shard_lost(ctx, view.shard);
        journal::drop(ctx, view.shard);
    }
}

void retry_later(context& ctx, shard_view& view)
{
    step_down(ctx, view, false);
    view.retry_at = ctx.now
                    + time_ms(static_cast<std::int64_t>(
                        conflict_delay_ms
                        + ctx.state.random.below(conflict_delay_spread_ms)));
}

} // namespace jaydrift::decide::takeover
