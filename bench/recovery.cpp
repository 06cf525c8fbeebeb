#include <jaydrift/scenario/world.hpp>

#include <algorithm>
#include <iostream>
#include <string>
#include <vector>

namespace {

using namespace jaydrift;
using namespace jaydrift::literals;

constexpr time_ms settle{8000};
constexpr time_ms limit{60000};
constexpr std::uint64_t seeds = 20;

/// Returns the daemon that serves most work of the first region.
std::string busiest(scenario::world const& world)
{
    std::string result;
    std::size_t most = 0;
    for (auto const& name : world.daemon_names())
    {
        auto const owned = static_cast<std::size_t>(std::count_if(
            world.trace().begin(), world.trace().end(),
            [&](std::string const& line) {
                return line.find(name + " shard_acquired") != std::string::npos;
            }));
        if (owned > most)
        {
            most = owned;
            result = name;
        }
    }
    return result;
}

/// Returns the time until every shard is served after a fault.
template<class Fault>
time_ms recover(std::uint64_t seed, Fault fault)
{
    auto settings = scenario::deployment("kallaloo");
    settings.seed = seed;
    settings.workers_per_zone = 16;
    scenario::world world(settings);
    world.advance(settle);
    world.apply_default_policy("arima-d0");
    world.advance(settle);
    fault(world);
    auto const from = world.now();
    world.run_until([&] { return world.every_shard_served(); }, limit);
    return world.now() - from;
}

template<class Fault>
void report(std::string const& name, Fault fault)
{
    std::vector<time_ms> times;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        times.push_back(recover(seed, fault));
    }
    std::sort(times.begin(), times.end());
    std::cout << name << "_median: " << times[times.size() / 2].count()
              << " ms\n"
              << name << "_max: " << times.back().count() << " ms\n";
}

} // namespace

int main()
{
    using scenario::world;
    report("owner_dies",
           [](world& target) { target.kill_daemon(busiest(target)); });
    report("owner_freezes",
           [](world& target) { target.freeze_daemon(busiest(target)); });
    report("owner_dies_store_out", [](world& target) {
        target.set_store_fault(standin::store_fault::outage, 1);
        target.advance(5000_ms);
        target.kill_daemon(busiest(target));
    });
    report("all_daemons_replaced", [](world& target) {
        for (auto const& name : target.daemon_names())
        {
            target.kill_daemon(name);
        }
        for (auto const& name : target.daemon_names())
        {
            target.start_daemon(name);
        }
    });
    return 0;
}
