#include <jaydrift/decide/voters.hpp>

#include <jaydrift/core/hash.hpp>
#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/membership.hpp>
#include <jaydrift/decide/quorum.hpp>
#include <jaydrift/decide/workers.hpp>

#include <algorithm>
#include <map>
#include <tuple>

namespace jaydrift::decide::voters {

namespace {

/// Voter sets of up to this size are filled even if one availability zone then
/// has the majority.
constexpr std::size_t max_always_full_set = 4;

/// Counts the chosen voters by availability zone and rack.
struct voter_counts
{
    std::map<std::string, std::size_t> zones;
    std::map<std::pair<std::string, std::string>, std::size_t> racks;

    void add(vm_info const& worker, std::size_t count)
    {
        zones[worker.zone] += count;
        racks[{worker.zone, worker.rack}] += count;
    }

    /// Returns a key that is smallest for the worker to choose next. The hash
    /// makes the order the same on every daemon.
    auto rank(vm_info const& worker)
    {
        return std::tuple(zones[worker.zone], racks[{worker.zone, worker.rack}],
                          stable_hash(worker.worker));
    }
};

/// Tells whether the accepted votes are a quorum of one voter set.
bool set_has_quorum(term_state const& term, std::uint64_t generation,
                    std::span<std::string const> set, name_set const& accepted,
                    bool store)
{
    auto const counts = [&](std::string const& name) {
        auto const link = term.links.find(name);
        return accepted.contains(name)
               && (link == term.links.end()
                   || link->second.state_lost_generation < generation);
    };
    auto const votes = std::count_if(set.begin(), set.end(), counts);
    return is_quorum(set.size(), static_cast<std::size_t>(votes), store);
}

} // namespace

bool is_voter(term_state const& term, std::string_view worker)
{
    auto const contains = [&](std::vector<std::string> const& names) {
        return std::find(names.begin(), names.end(), worker) != names.end();
    };
    return contains(term.record.voters)
           || contains(term.record.previous_voters);
}

bool has_quorum(term_state const& term, name_set const& accepted, bool store)
{
    auto const& record = term.record;
    return set_has_quorum(term, record.generation, record.voters, accepted,
                          store)
           && (record.previous_voters.empty()
               || set_has_quorum(term, record.generation - 1,
                                 record.previous_voters, accepted, store));
}

std::vector<std::string> choose(std::span<vm_info const> workers,
                                std::span<std::string const> kept,
                                std::size_t limit)
{
    std::vector<std::string> result;
    std::vector<vm_info const*> remaining;
    voter_counts chosen;
    for (auto const& worker : workers)
    {
        chosen.add(worker, 0);
        if (std::find(kept.begin(), kept.end(), worker.worker) != kept.end())
        {
            result.push_back(worker.worker);
            chosen.add(worker, 1);
            continue;
        }
        remaining.push_back(&worker);
    }
    while (result.size() < limit && !remaining.empty())
    {
        auto const next = std::min_element(
            remaining.begin(), remaining.end(),
            [&](auto const* left, auto const* right) {
                return chosen.rank(*left) < chosen.rank(*right);
            });
        // The last voter is left out if its zone would then have the majority,
        // as with two zones and an odd number of voters: the loss of that zone
        // could take the quorum. With an even number the store's vote decides.
        if (result.size() + 1 == limit && limit > max_always_full_set
            && chosen.zones.size() > 1
            && 2 * (chosen.zones[(*next)->zone] + 1) > limit)
        {
            break;
        }
        result.push_back((*next)->worker);
        chosen.add(**next, 1);
        remaining.erase(next);
    }
    return result;
}

std::size_t largest_zone_count(std::span<vm_info const> workers,
                               std::span<std::string const> names)
{
    std::map<std::string, std::size_t> zones;
    std::size_t largest = 0;
    for (auto const& worker : workers)
    {
        if (std::find(names.begin(), names.end(), worker.worker) != names.end())
        {
            largest = std::max(largest, ++zones[worker.zone]);
        }
    }
    return largest;
}

std::vector<std::string> choose_initial(daemon_state const& state,
                                        shard_view const& view)
{
    std::vector<vm_info> candidates;
    for (auto const& name : workers::of_shard(state, view.shard))
    {
        auto const* worker = workers::find(state, name);
        if (worker != nullptr && worker->state == vm_state::live)
        {
            candidates.push_back(*worker);
        }
    }
    return choose(candidates, {}, state.settings.voters_per_shard);
}

} // namespace jaydrift::decide::voters
