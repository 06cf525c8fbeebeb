#include <jaydrift/schedule/relocation.hpp>

#include <jaydrift/schedule/calls.hpp>
#include <jaydrift/schedule/heartbeats.hpp>
#include <jaydrift/schedule/layout.hpp>
#include <jaydrift/schedule/record_log.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/submissions.hpp>
#include <jaydrift/schedule/workers.hpp>

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

namespace jaydrift::schedule::relocation {

namespace {

/// Loads are in thousandths.
constexpr std::int64_t per_mille = 1000;

/// A submission is relocated if the loads of its shards differ by more than
/// this, in thousandths. Long-running tasks stay for minutes, so their shards
/// are kept within a percent of each other. For others, passing the call on
/// costs more than it gains unless the difference is large.
constexpr std::int64_t long_running_margin = 10;
constexpr std::int64_t relocation_margin = 60;

/// Relocations are kept for this many times the retention of ended submissions,
/// counted from the decision. Callers are expected to repeat a submission
/// within seconds.
constexpr std::int64_t kept_retentions = 5;
constexpr time_ms expiry_interval{5000};

/// Bounds the relocations that are removed in one pass.
constexpr std::size_t max_expired_per_pass = 1000;

/// Returns the demand of the tasks of a submission that wait for a place, of
/// the steps that `counts` selects.
template<class Predicate>
std::int64_t waiting_millicores(submission_state const& submission,
                                Predicate counts)
{
    std::int64_t result = 0;
    for (auto const& occurrence : submission.occurrences)
    {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step)
        {
            auto const& spec = submission.work.steps[step];
            if (occurrence.steps[step].ready && counts(spec))
            {
                result += occurrence.steps[step].waiting_tasks
                          * spec.demand.millicores;
            }
        }
    }
    return result;
}

/// Returns the same of all submissions of the shard.
template<class Predicate>
std::int64_t waiting_millicores(shard_context const& ctx, Predicate counts)
{
    std::int64_t result = 0;
    for (auto const& id : ctx.shard.active)
    {
        auto const& submission = ctx.shard.submissions.at(id);
        if (submission.waiting_tasks > 0)
        {
            result += waiting_millicores(submission, counts);
        }
    }
    return result;
}

bool is_opportunistic(step_spec const& spec) { return spec.opportunistic; }
bool is_firm(step_spec const& spec) { return !spec.opportunistic; }
bool is_long_running(step_spec const& spec)
{
    return spec.long_running && !spec.opportunistic;
}

/// Returns `part` in thousandths of `all`.
std::int64_t share_of(std::int64_t part, std::int64_t all)
{
    return all > 0 ? part * per_mille / all : load_unavailable;
}

/// Returns whether the shard has, for each step, a worker that could run it.
bool runnable_here(shard_context const& ctx, std::string_view service,
                   submission const& work)
{
    auto const& workers = ctx.shard.workers;
    return std::all_of(
        work.steps.begin(), work.steps.end(), [&](step_spec const& step) {
            return std::any_of(
                workers.begin(), workers.end(), [&](auto const& each) {
                    return each.second.listed
                           && workers::matches_step(each.second.entry, service,
                                                    step)
                           && fits(step.demand, each.second.entry.capacity);
                });
        });
}

/// Returns the load that the steps without predecessors add to the shard.
shard_load initial_load_of(shard_context const& ctx, submission const& work)
{
    auto const capacity = usable_millicores(ctx);
    shard_load result{0, 0};
    for (auto const& step : work.steps)
    {
        if (step.after.empty())
        {
            auto& load =
                step.opportunistic ? result.opportunistic : result.firm;
            load += share_of(step.demand.millicores * step.count, capacity);
        }
    }
    return result;
}

void add(shard_load& load, shard_load const& more)
{
    load.firm += more.firm;
    load.opportunistic += more.opportunistic;
}

bool starts_opportunistic(submission const& work)
{
    return work.steps.front().opportunistic;
}

bool long_running(submission const& work)
{
    return std::any_of(work.steps.begin(), work.steps.end(),
                       [](auto const& step) { return step.long_running; });
}

} // namespace

std::int64_t usable_millicores(shard_context const& ctx)
{
    std::int64_t result = 0;
    for (auto const& [id, worker] : ctx.shard.workers)
    {
        if (worker.listed && worker.fenced && !worker.leaving
            && !worker.entry.draining
            && !ctx.state.closed_zones.contains(worker.entry.zone))
        {
            result += worker.entry.capacity.millicores;
        }
    }
    return result;
}

std::int64_t firm_millicores(shard_context const& ctx)
{
    auto result = waiting_millicores(ctx, is_firm);
    for (auto const& [id, worker] : ctx.shard.workers)
    {
        result += worker.used.millicores;
    }
    return result;
}

std::int64_t long_running_millicores(shard_context const& ctx)
{
    auto result = waiting_millicores(ctx, is_long_running);
    for (auto const& [id, worker] : ctx.shard.workers)
    {
        result += worker.long_running_millicores;
    }
    return result;
}

shard_load measure_load(shard_context const& ctx)
{
    auto const capacity = usable_millicores(ctx);
    auto opportunistic = waiting_millicores(ctx, is_opportunistic);
    for (auto const& [id, worker] : ctx.shard.workers)
    {
        opportunistic += worker.opportunistic_millicores;
    }
    return {share_of(firm_millicores(ctx), capacity),
            share_of(opportunistic, capacity),
            share_of(long_running_millicores(ctx), capacity)};
}

bool should_relocate(shard_context const& ctx, std::string_view id,
                     std::string_view service, submission const& work)
{
    auto const second = layout::second_shard_of(id, ctx.state.shards.size());
    auto const& other = ctx.state.shards[second];

    // Only the first shard of a submission relocates it, and only to a shard
    // with an owner that is not suspected to be dead.
    if (second == ctx.shard.number
        || layout::first_shard_of(id, ctx.state.shards.size())
               != ctx.shard.number
        || other.ownership.revision == 0 || other.ownership.queried_at)
    {
        return false;
    }
    if (!runnable_here(ctx, service, work))
    {
        return true;
    }
    auto const here = measure_load(ctx);
    auto const there = other.load;
    auto const difference = starts_opportunistic(work)
                                ? here.opportunistic - there.opportunistic
                                : here.firm - there.firm;
    return difference
           > (long_running(work) ? long_running_margin : relocation_margin);
}

void accepted(shard_context& ctx, submission const& work)
{
    if (ctx.state.shards.size() > 1)
    {
        add(ctx.shard.load, initial_load_of(ctx, work));
        heartbeats::announce_load(ctx);
    }
}

void relocate(shard_context& ctx, std::uint64_t call, std::string_view id,
              submission const& work)
{
    auto const second = layout::second_shard_of(id, ctx.state.shards.size());
    auto const added = initial_load_of(ctx, work);
    auto& there = ctx.state.shards[second].load;
    add(there, added);
    auto& moved = ctx.shard.relocations[std::string(id)];
    moved.record = {std::string(id), second, ctx.wall_time()};
    moved.waiters.push_back(call);
    ctx.shard.record_log.new_relocations.emplace_back(id);
    record_log::flush_soon(ctx);
    ctx.count("submissions_relocated_total", "");
    ctx.log_work(log_level::info, "call",
                 std::string(id) + " left to shard " + std::to_string(second)
                     + ", load there: firm " + std::to_string(there.firm)
                     + ", opportunistic " + std::to_string(there.opportunistic)
                     + " per mille");
}

void stored(shard_context& ctx, std::string_view id)
{
    auto const found = ctx.shard.relocations.find(std::string(id));
    if (found == ctx.shard.relocations.end())
    {
        return;
    }
    found->second.stored = true;
    auto const to = found->second.record.second_shard;
    for (auto const call : std::exchange(found->second.waiters, {}))
    {
        calls::redirect(ctx, call, to);
    }
}

void tick(shard_context& ctx)
{
    if (ctx.shard.ownership.role != owner_role::owner
        || ctx.now < ctx.shard.next_relocation_expiry)
    {
        return;
    }
    ctx.shard.next_relocation_expiry = ctx.now + expiry_interval;
    auto const retention = ctx.state.options.retention * kept_retentions;
    auto& expired = ctx.shard.record_log.expired_relocations;
    for (auto const& [id, moved] : ctx.shard.relocations)
    {
        if (moved.stored
            && ctx.wall_time() - moved.record.decided_at >= retention
            && expired.size() < max_expired_per_pass)
        {
            expired.push_back(id);
        }
    }
    for (auto const& id : expired)
    {
        ctx.shard.relocations.erase(id);
    }
}

} // namespace jaydrift::schedule::relocation
