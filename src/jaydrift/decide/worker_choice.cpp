#include <jaydrift/decide/worker_choice.hpp>

#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/ownership.hpp>
#include <jaydrift/decide/workers.hpp>

#include <algorithm>
#include <cstdint>
#include <tuple>

namespace jaydrift::decide::requests {

namespace {

/// Workers that are examined per decision. A shard of the design size has 25.
constexpr std::size_t max_examined = 32;

/// Distance between examined workers in the list of names. A prime above every
/// shard's size visits each worker once and spreads the workers of one
/// availability zone, which often have similar names, over the visits.
constexpr std::size_t visit_stride = 20011;

/// Smaller differences of the expected slowdown are noise from late reports.
constexpr std::int64_t slowdown_step = 50;

bool may_place(context const& ctx, std::string_view worker)
{
    return ownership::may_start(ctx.state, worker, ctx.now)
           && workers::usable(ctx.state, worker, ctx.now);
}

/// Returns the cost of a worker, where lower is better: the expected slowdown
/// first, then the load.
std::tuple<std::int64_t, std::int64_t>
cost(context const& ctx, std::string_view worker, std::string_view kind)
{
    return {workers::expected_slowdown(ctx.state, worker, kind) / slowdown_step,
            workers::load(ctx.state, worker)};
}

void update_least_loaded(context const& ctx, worker_choice& choice,
                         std::string const& worker)
{
    if (!choice.least_loaded
        || workers::load(ctx.state, worker)
               < workers::load(ctx.state, *choice.least_loaded))
    {
        choice.least_loaded = worker;
    }
}

} // namespace

worker_choice choose_worker(context& ctx, shard_id const& shard,
                            placement_demand const& demand)
{
    worker_choice choice;
    auto const names = workers::names_of_shard(ctx.state, shard);
    if (names.empty())
    {
        return choice;
    }
    auto const first = ctx.state.random.below(names.size());
    auto const count = std::min(names.size(), max_examined);
    std::size_t found = 0;
    auto refused_fits = false;
    for (std::size_t i = 0; i < count && found < 2; ++i)
    {
        auto const& name = names[(first + i * visit_stride) % names.size()];
        if (!may_place(ctx, name)
            || !workers::urgent_allowed(ctx.state, name, ctx.now))
        {
            continue;
        }
        auto const room = workers::available(ctx.state, name, demand.priority);
        if (!fits(demand.demand, room))
        {
            update_least_loaded(ctx, choice, name);
            continue;
        }
        if (name == demand.refused_by)
        {
            refused_fits = true;
            continue;
        }
        ++found;
        if (!choice.worker
            || cost(ctx, name, demand.kind)
                   < cost(ctx, *choice.worker, demand.kind))
        {
            choice.worker = name;
        }
    }
    if (!choice.worker && refused_fits)
    {
        choice.worker = std::string(demand.refused_by);
    }
    return choice;
}

bool any_usable_worker(context const& ctx, shard_id const& shard)
{
    auto const names = workers::names_of_shard(ctx.state, shard);
    return std::any_of(names.begin(), names.end(),
                       [&](auto const& name) { return may_place(ctx, name); });
}

} // namespace jaydrift::decide::requests
