#include <jaydrift/decide/ownership.hpp>

#include <jaydrift/core/hash.hpp>
#include <jaydrift/decide/batch.hpp>
#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/membership.hpp>
#include <jaydrift/decide/ranking.hpp>
#include <jaydrift/decide/reported_owner.hpp>
#include <jaydrift/decide/requests.hpp>
#include <jaydrift/decide/workers.hpp>

#include <algorithm>

namespace jaydrift::decide::ownership {

namespace {

/// Epoch of a shard's first owner.
constexpr std::uint64_t first_epoch = 1;

// Different seeds keep the shards of keys and of workers independent.
constexpr std::uint64_t key_seed = 1;
constexpr std::uint64_t worker_seed = 2;

shard_id shard_of(daemon_state const& state, std::string_view region,
                  std::string_view name, std::uint64_t seed)
{
    auto const count = std::max(state.settings.shards_per_region, 1U);
    auto const number = stable_hash(name, seed) % count;
    return {std::string(region), static_cast<std::uint32_t>(number)};
}

term_state const* find_term(daemon_state const& state, shard_id const& shard)
{
    auto const found = state.ownership.shards.find(shard);
    return found == state.ownership.shards.end() || !found->second.own_term
               ? nullptr
               : &*found->second.own_term;
}

/// Returns this daemon's term of a worker's shard and the worker's link; null
/// for what it does not have.
std::pair<term_state const*, worker_link const*>
find_link(daemon_state const& state, std::string_view worker)
{
    auto const* vm = workers::find(state, worker);
    auto const* term =
        vm == nullptr
            ? nullptr
            : find_term(state, shard_of_worker(state, vm->region, worker));
    if (term == nullptr)
    {
        return {};
    }
    auto const link = term->links.find(worker);
    return {term, link == term->links.end() ? nullptr : &link->second};
}

std::string_view phase_name(shard_phase phase)
{
    switch (phase)
    {
    case shard_phase::claiming:
        return "claiming";
    case shard_phase::fencing:
        return "fencing";
    case shard_phase::waiting:
        return "waiting";
    case shard_phase::serving:
        return "serving";
    case shard_phase::releasing:
        return "releasing";
    case shard_phase::handing_over:
        return "handing_over";
    }
    return "other";
}

/// Returns the shard's state as operators see it; "other" if this daemon has no
/// term of it.
std::string_view status_text(daemon_state const& state, shard_view const& view,
                             time_ms now)
{
    if (!view.own_term)
    {
        return "other";
    }
    bool const authority_lapsed = view.own_term->phase == shard_phase::serving
                                  && !serving(state, view.shard, now);
    return authority_lapsed ? "no_quorum" : phase_name(view.own_term->phase);
}

} // namespace

std::vector<shard_id> all_shards(daemon_state const& state)
{
    std::vector<shard_id> result;
    for (auto const& region : state.settings.regions)
    {
        for (std::uint32_t number = 0;
             number < state.settings.shards_per_region; ++number)
        {
            result.push_back({region, number});
        }
    }
    return result;
}

shard_id shard_of_key(daemon_state const& state, std::string_view region,
                      std::string_view key)
{
    return shard_of(state, region, key, key_seed);
}

shard_id shard_of_worker(daemon_state const& state, std::string_view region,
                         std::string_view worker)
{
    return shard_of(state, region, worker, worker_seed);
}

std::optional<std::string> owner_of(daemon_state const& state,
                                    shard_id const& shard)
{
    auto const now =
        std::max(state.ownership.last_timer, state.membership.last_timer);
    auto const found = state.ownership.shards.find(shard);
    if (found == state.ownership.shards.end())
    {
        return {};
    }
    auto const& view = found->second;
    if (view.own_term && view.own_term->phase != shard_phase::handing_over)
    {
        return state.settings.self.daemon;
    }
    if (view.own_term)
    {
        return view.own_term->successor;
    }
    if (auto owner = reported_owner(state, shard, now))
    {
        return owner;
    }
    for (auto const& owner : {view.expected_owner, view.record.owner})
    {
        if (!owner.empty() && owner != state.settings.self.daemon
            && membership::live(state, owner, now))
        {
            return owner;
        }
    }
    return best_owner(state, shard, now);
}

ownership_term term(daemon_state const& state, shard_id const& shard)
{
    auto const* term = find_term(state, shard);
    if (term == nullptr)
    {
        return {shard, 0, state.settings.self.daemon, 0};
    }
    return {shard, term->record.epoch, term->record.owner,
            term->record.generation};
}

bool may_start(daemon_state const& state, std::string_view worker, time_ms now)
{
    auto const [term, link] = find_link(state, worker);
    return link != nullptr && link->fenced && link->clock
           && now >= link->usable_at && serving(state, term->record.shard, now);
}

time_ms start_deadline(daemon_state const& state, std::string_view worker)
{
    auto const [term, link] = find_link(state, worker);
    if (link == nullptr || !link->clock)
    {
        return {};
    }
    return term->authority_end + link->clock->offset;
}

time_ms acquired_at(daemon_state const& state, shard_id const& shard)
{
    auto const* term = find_term(state, shard);
    return term == nullptr ? time_ms{} : term->acquired_at.value_or(time_ms{});
}

bool inventory_complete(daemon_state const& state, shard_id const& shard)
{
    auto const* term = find_term(state, shard);
    return term != nullptr && !term->missed_inventory
           && std::all_of(
               term->links.begin(), term->links.end(),
               [](auto const& entry) { return entry.second.inventoried; });
}

bool request_inventory_complete(daemon_state const& state,
                                shard_id const& shard)
{
    auto const* term = find_term(state, shard);
    if (term == nullptr || !term->acquired_at)
    {
        return false;
    }
    if (term->record.epoch == first_epoch)
    {
        return true;
    }
    auto const oldest = *term->acquired_at - state.settings.request_retention;
    return inventory_complete(state, shard)
           && std::none_of(term->links.begin(), term->links.end(),
                           [](auto const& entry) {
                               return entry.second.history_incomplete;
                           })
           && !workers::any_vm_gone_since(state, shard, oldest);
}

std::vector<shard_status> status(daemon_state const& state, time_ms now)
{
    std::vector<shard_status> result;
    for (auto const& [shard, view] : state.ownership.shards)
    {
        auto const workers = workers::of_shard(state, shard).size();
        result.push_back(
            {shard,
             view.own_term ? view.own_term->record.epoch : view.highest_epoch,
             owner_of(state, shard).value_or(""),
             std::string(status_text(state, view, now)),
             static_cast<std::uint32_t>(workers),
             requests::open_requests(state, shard),
             batch::running_tasks(state, shard),
             batch::waiting_tasks(state, shard)});
    }
    return result;
}

} // namespace jaydrift::decide::ownership
