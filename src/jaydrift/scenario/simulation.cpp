#include <jaydrift/scenario/simulation.hpp>

#include <jaydrift/decide/ownership.hpp>
#include <jaydrift/decide/reduce.hpp>

#include <algorithm>
#include <memory>
#include <stdexcept>
#include <utility>

namespace jaydrift::scenario {

namespace {

/// Later than every time of a simulation; marks a timer that is not set.
constexpr time_ms never{std::int64_t{1} << 60U};

/// The clock of each process is ahead of the scenario's by less than this, so
/// the clocks of two VMs differ by less than this.
constexpr std::uint64_t max_clock_offset_ms = 100000;

/// Returns the name of the rack of a zone's worker with this index.
std::string rack_of(std::string const& zone, std::uint32_t index)
{
    constexpr std::uint32_t workers_per_rack = 8;
    return zone + "-rack" + std::to_string(index / workers_per_rack);
}

} // namespace

simulation::simulation(simulation_settings settings)
    : settings_(std::move(settings)), network_(settings_.seed),
      random_(settings_.seed)
{
    network_.set_location("store", {settings_.store_region, "store"});
    add_workers();
    add_daemons();
    for (auto const& name : daemon_names())
    {
        start_daemon(name);
    }
}

void simulation::add_workers()
{
    for (auto const& zone : settings_.zones)
    {
        for (std::uint32_t i = 0; i < settings_.workers_per_zone; ++i)
        {
            worker_node node;
            node.vm.worker = zone.zone + "-w" + std::to_string(i);
            node.vm.address = node.vm.worker;
            node.vm.region = zone.region;
            node.vm.zone = zone.zone;
            node.vm.rack = rack_of(zone.zone, i);
            node.vm.capacity = settings_.worker_capacity;
            node.state.settings.capacity = settings_.worker_capacity;
            node.clock_offset = time_ms(
                static_cast<std::int64_t>(random_.below(max_clock_offset_ms)));
            node.timer_at = never;
            network_.set_location(node.vm.worker, {zone.region, zone.zone});
            run_store(standin::register_vm{node.vm});
            workers_.emplace(node.vm.worker, std::move(node));
        }
    }
}

void simulation::add_daemons()
{
    std::vector<member_info> members;
    for (auto const& zone : settings_.zones)
    {
        for (std::uint32_t i = 0; i < settings_.daemons_per_zone; ++i)
        {
            auto const name = zone.zone + "-d" + std::to_string(i);
            members.push_back({name, name, zone.region, zone.zone});
        }
    }
    for (auto const& member : members)
    {
        daemon_node node;
        node.name = member.daemon;
        node.settings.self = member;
        node.settings.peers = members;
        node.settings.zones = settings_.zones;
        node.settings.shards_per_region = settings_.shards_per_region;
        node.settings.random_seed = random_.next();
        for (auto const& zone : settings_.zones)
        {
            auto& regions = node.settings.regions;
            if (std::find(regions.begin(), regions.end(), zone.region)
                == regions.end())
            {
                regions.push_back(zone.region);
            }
        }
        node.clock_offset = time_ms(
            static_cast<std::int64_t>(random_.below(max_clock_offset_ms)));
        node.timer_at = never;
        network_.set_location(node.name, {member.region, member.zone});
        daemons_.emplace(node.name, std::move(node));
    }
}

void simulation::schedule(time_ms due, action_queue::action action)
{
    actions_.add(std::max(due, now_), std::move(action));
}

void simulation::advance(time_ms duration)
{
    auto const end = now_ + duration;
    while (!actions_.empty() && actions_.next_due() <= end)
    {
        now_ = actions_.next_due();
        actions_.take()();
    }
    now_ = end;
}

bool simulation::run_until(std::function<bool()> const& condition,
                           time_ms limit)
{
    auto const end = now_ + limit;
    while (!condition())
    {
        if (actions_.empty() || actions_.next_due() > end)
        {
            now_ = end;
            return condition();
        }
        now_ = actions_.next_due();
        actions_.take()();
    }
    return true;
}

void simulation::add_trace(std::string_view process, std::string text)
{
    trace_.push_back(std::to_string(now_.count()) + " " + std::string(process)
                     + " " + std::move(text));
}

std::vector<std::string> simulation::daemon_names() const
{
    std::vector<std::string> names;
    for (auto const& [name, node] : daemons_)
    {
        names.push_back(name);
    }
    return names;
}

std::vector<std::string> simulation::worker_names() const
{
    std::vector<std::string> names;
    for (auto const& [name, node] : workers_)
    {
        names.push_back(name);
    }
    return names;
}

daemon_node const& simulation::daemon(std::string_view name) const
{
    auto const found = daemons_.find(name);
    if (found == daemons_.end())
    {
        throw std::invalid_argument("unknown daemon " + std::string(name));
    }
    return found->second;
}

worker_node const& simulation::worker(std::string_view name) const
{
    auto const found = workers_.find(name);
    if (found == workers_.end())
    {
        throw std::invalid_argument("unknown worker " + std::string(name));
    }
    return found->second;
}

std::vector<caller_answer>
simulation::answers_of(std::string_view request_id) const
{
    std::vector<caller_answer> result;
    std::copy_if(
        answers_.begin(), answers_.end(), std::back_inserter(result),
        [&](auto const& answer) { return answer.request_id == request_id; });
    return result;
}

bool simulation::every_shard_served() const
{
    std::map<shard_id, int> owner_counts;
    for (auto const& [name, node] : daemons_)
    {
        if (!node.alive || node.frozen)
        {
            continue;
        }
        for (auto const& shard : decide::ownership::all_shards(*node.state))
        {
            owner_counts[shard] += decide::ownership::serving(
                *node.state, shard, now_ + node.clock_offset);
        }
    }
    return !owner_counts.empty()
           && std::all_of(owner_counts.begin(), owner_counts.end(),
                          [](auto const& entry) { return entry.second > 0; });
}

job_reply const* simulation::last_job_reply(std::string_view job) const
{
    auto const found = job_replies_.find(job);
    return found == job_replies_.end() ? nullptr : &found->second;
}

operator_reply const* simulation::last_operator_reply() const
{
    return last_operator_reply_ ? &*last_operator_reply_ : nullptr;
}

} // namespace jaydrift::scenario
