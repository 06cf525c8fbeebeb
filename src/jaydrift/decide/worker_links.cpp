#include <jaydrift/decide/worker_links.hpp>

#include <jaydrift/decide/batch.hpp>
#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/renewal.hpp>
#include <jaydrift/decide/requests.hpp>
#include <jaydrift/decide/takeover.hpp>
#include <jaydrift/decide/voters.hpp>
#include <jaydrift/decide/workers.hpp>

#include <algorithm>

namespace jaydrift::decide::worker_links {

namespace {

// A reading of a worker's clock is replaced even by a worse one after this
// time, so that the error from clock drift (50 ppm is usual) stays below 1 ms.
constexpr time_ms reading_window{10000};

// A worker that joins is used only after this time, when the VM lists of the
// other daemons name it as well: a store outage goes unnoticed for up to 4 s,
// and the list is queried every second. A successor that has fenced every
// worker of its own list does not wait for the previous authority to end, so
// its list must name every worker that the previous owner used.
constexpr time_ms join_delay{10000};

void add_link(context& ctx, term_state& term, std::string const& name)
{
    auto& link = term.links[name];
    link.answered_at = ctx.now;
    link.fence_at = ctx.now;
    if (term.quorum_at)
    {
        link.usable_at = ctx.now + join_delay;
        link.lease_end = *term.quorum_at + ctx.state.settings.authority_duration
                         + ctx.state.settings.worker_lease;
    }
}

/// Passes on the tasks that a worker reported to the other modules.
void deliver_inventory(context& ctx, shard_view const& view,
                       std::string_view worker, worker_reply const& reply)
{
    requests::on_inventory(ctx, view.shard, worker, reply.tasks);
    batch::on_inventory(ctx, view.shard, worker, reply.tasks);
}

/// Tells whether a fence waits for its reply. A call without a reply is
/// forgotten after a while.
bool fence_outstanding(context const& ctx, worker_link const& link)
{
    return ctx.state.ownership.calls.contains(link.fence_call);
}

/// Returns when a worker may be fenced again.
time_ms next_fence_time(context& ctx, term_state const& term,
                        std::string_view worker)
{
    auto const& settings = ctx.state.settings;
    return ctx.now
           + (!term.acquired_at || voters::is_voter(term, worker)
                  ? settings.renew_interval
                  : settings.non_voter_renew_interval);
}

} // namespace

void sync_with_vm_list(context& ctx, shard_view& view)
{
    auto& term = *view.own_term;
    auto const names = workers::of_shard(ctx.state, view.shard);
    voters::name_set const listed(names.begin(), names.end());
    for (auto const& name : listed)
    {
        if (!term.links.contains(name))
        {
            add_link(ctx, term, name);
        }
    }
    for (auto& [name, link] : term.links)
    {
        bool const listed_before = link.listed;
        link.listed = listed.contains(name);
        if (link.listed && !listed_before)
        {
            link.usable_at = ctx.now + join_delay;
        }
        if (!link.listed && link.fenced)
        {
            mark_unfenced(term, link);
        }
    }
}

void send_fences(context& ctx, shard_view& view)
{
    auto const now = ctx.now;
    auto const& settings = ctx.state.settings;
    ownership_term const term{view.shard, view.own_term->record.epoch,
                              settings.self.daemon,
                              view.own_term->record.generation};
    for (auto& [name, link] : view.own_term->links)
    {
        auto const* worker = workers::find(ctx.state, name);
        if (link.fenced || !link.listed || fence_outstanding(ctx, link)
            || now < link.fence_at || worker == nullptr)
        {
            continue;
        }
        link.fence_call =
            ctx.ask_worker(reducer_module::ownership, name, worker->address,
                           fence_request{term}, settings.worker_timeout);
        ctx.state.ownership.calls[link.fence_call] = {view.shard, term.epoch, 0,
                                                      now};
    }
}

void on_fence_replied(context& ctx, shard_view& view, std::string_view worker,
                      worker_reply const& reply)
{
    auto& term = *view.own_term;
    auto& link = term.links.find(worker)->second;
    link.fence_call = 0;
    link.fence_at = next_fence_time(ctx, term, worker);
    if (reply.outcome != worker_outcome::ok)
    {
        on_epoch_refused(ctx, view, worker, reply);
        return;
    }
    link.fenced = true;
    link.inventoried = true;
    link.history_incomplete =
        link.history_incomplete || !reply.history_complete;
    link.failures = 0;
    link.answered_at = ctx.now;
    link.renew_at = ctx.now;
    // The VM may have restarted with another clock.
    link.clock.reset();
    observe_clock(ctx, link, reply);
    term.required_policy = std::max(term.required_policy, reply.policy_version);
    if (term.acquired_at)
    {
        deliver_inventory(ctx, view, worker, reply);
    }
    else
    {
        link.inventory = reply.tasks;
    }
    if (term.quorum_at)
    {
        renewal::send_to(ctx, view, worker);
    }
    takeover::advance(ctx, view);
}

void on_fence_failed(context& ctx, shard_view& view, std::string_view worker)
{
    auto& link = view.own_term->links.find(worker)->second;
    link.fence_call = 0;
    link.fence_at = next_fence_time(ctx, *view.own_term, worker);
}

void mark_unfenced(term_state& term, worker_link& link)
{
    link.fenced = false;
    link.failures = 0;
    link.last_start_deadline = term.authority_end;
    // The reply to a fence shows whether the last start took place only if that
    // start is past its deadline.
    link.fence_at = std::max(link.fence_at, link.last_start_deadline);
}

void observe_clock(context& ctx, worker_link& link, worker_reply const& reply)
{
    // Clocks count whole milliseconds, so up to 1 ms more may have passed here.
    auto const offset = reply.worker_clock - ctx.now - time_ms(1);
    if (!link.clock || offset >= link.clock->offset
        || ctx.now - link.clock->read_at > reading_window)
    {
        link.clock = clock_reading{offset, ctx.now};
    }
}

void report_lapsed_leases(context& ctx, shard_view& view)
{
    std::vector<std::string> lapsed;
    auto& term = *view.own_term;
    for (auto& [name, link] : term.links)
    {
        if (!link.fenced && !link.lapse_reported
            && ctx.now >= std::max(link.lease_end, link.last_start_deadline))
        {
            link.lapse_reported = true;
            lapsed.push_back(name);
        }
    }
    std::erase_if(term.links, [&](auto const& entry) {
        auto const& link = entry.second;
        bool const gone = !link.listed && link.lapse_reported
                          && !fence_outstanding(ctx, link);
        term.missed_inventory =
            term.missed_inventory || (gone && !link.inventoried);
        return gone;
    });
    for (auto const& name : lapsed)
    {
        batch::on_lease_lapsed(ctx, view.shard, name);
    }
}

bool all_fenced(term_state const& term)
{
    auto const fenced = [&](std::string const& name) {
        auto const found = term.links.find(name);
        return found != term.links.end() && found->second.fenced;
    };
    return std::all_of(term.links.begin(), term.links.end(),
                       [](auto const& entry) { return entry.second.fenced; })
           && std::all_of(term.record.voters.begin(), term.record.voters.end(),
                          fenced)
           && std::all_of(term.record.previous_voters.begin(),
                          term.record.previous_voters.end(), fenced);
}

bool on_epoch_refused(context& ctx, shard_view& view, std::string_view worker,
                      worker_reply const& reply)
{
    auto& term = *view.own_term;
    if (reply.outcome != worker_outcome::stale_epoch)
    {
        return true;
    }
    view.highest_epoch = std::max(view.highest_epoch, reply.epoch);
    if (reply.epoch > term.record.epoch)
    {
        if (term.quorum_at)
        {
            takeover::step_down(ctx, view, true);
        }
        else
        {
            takeover::retry_later(ctx, view);
        }
        return false;
    }
    auto& link = term.links.find(worker)->second;
    if (reply.epoch < term.record.epoch && link.inventoried)
    {
        link.state_lost_generation = term.record.generation;
        mark_unfenced(term, link);
        return true;
    }
    term.epoch_conflict =
        term.epoch_conflict || reply.epoch == term.record.epoch;
    return true;
}

} // namespace jaydrift::decide::worker_links
