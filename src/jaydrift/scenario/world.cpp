#include <jaydrift/scenario/world.hpp>

#include <jaydrift/decide/reduce.hpp>

#include <algorithm>
#include <memory>
#include <stdexcept>
#include <utility>

namespace jaydrift::scenario {

namespace {

constexpr time_ms never{std::int64_t{1} << 60U};

/// Clocks of different VMs differ by up to this much.
constexpr std::uint64_t max_clock_offset_ms = 100000;

std::string rack_of(std::string const& zone, std::uint32_t number)
{
    constexpr std::uint32_t workers_per_rack = 8;
    return zone + "-rack" + std::to_string(number / workers_per_rack);
}

} // namespace

world::world(world_settings settings)
    : settings_(std::move(settings)), network_(settings_.seed),
      random_(settings_.seed)
{
    network_.place_node("store", {settings_.store_region, "store"});
    add_workers();
    add_daemons();
    for (auto const& name : daemon_names())
    {
        start_daemon(name);
    }
}

void world::add_workers()
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
            network_.place_node(node.vm.worker, {zone.region, zone.zone});
            run_store(standin::register_vm{node.vm});
            workers_.emplace(node.vm.worker, std::move(node));
        }
    }
}

void world::add_daemons()
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
        network_.place_node(node.name, {member.region, member.zone});
        daemons_.emplace(node.name, std::move(node));
    }
}

void world::at(time_ms when, event_queue::action task)
{
    queue_.add(std::max(when, now_), std::move(task));
}

void world::advance(time_ms duration)
{
    auto const end = now_ + duration;
    while (!queue_.empty() && queue_.next() <= end)
    {
        now_ = queue_.next();
        queue_.take()();
    }
    now_ = end;
}

bool world::run_until(std::function<bool()> const& condition, time_ms limit)
{
    auto const end = now_ + limit;
    while (!condition())
    {
        if (queue_.empty() || queue_.next() > end)
        {
            now_ = end;
            return condition();
        }
        now_ = queue_.next();
        queue_.take()();
    }
    return true;
}

void world::note(std::string_view node, std::string text)
{
    trace_.push_back(std::to_string(now_.count()) + " " + std::string(node)
                     + " " + std::move(text));
}

std::vector<std::string> world::daemon_names() const
{
    std::vector<std::string> names;
    for (auto const& [name, node] : daemons_)
    {
        names.push_back(name);
    }
    return names;
}

std::vector<std::string> world::worker_names() const
{
    std::vector<std::string> names;
    for (auto const& [name, node] : workers_)
    {
        names.push_back(name);
    }
    return names;
}

daemon_node const& world::daemon(std::string_view name) const
{
    auto const found = daemons_.find(name);
    if (found == daemons_.end())
    {
        throw std::invalid_argument("unknown daemon " + std::string(name));
    }
    return found->second;
}

worker_node const& world::worker(std::string_view name) const
{
    auto const found = workers_.find(name);
    if (found == workers_.end())
    {
        throw std::invalid_argument("unknown worker " + std::string(name));
    }
    return found->second;
}

std::vector<caller_answer> world::answers_of(std::string_view request) const
{
    std::vector<caller_answer> result;
    std::copy_if(answers_.begin(), answers_.end(), std::back_inserter(result),
                 [&](auto const& a) { return a.request == request; });
    return result;
}

job_reply const* world::last_job_reply(std::string_view job) const
{
    auto const found = job_replies_.find(job);
    return found == job_replies_.end() ? nullptr : &found->second;
}

operator_reply const* world::last_operator_reply() const
{
    return last_operator_reply_ ? &*last_operator_reply_ : nullptr;
}

} // namespace jaydrift::scenario
