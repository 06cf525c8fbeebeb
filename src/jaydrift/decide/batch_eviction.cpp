#include <jaydrift/decide/batch_steps.hpp>

#include <jaydrift/decide/batch.hpp>
#include <jaydrift/decide/ownership.hpp>
#include <jaydrift/decide/workers.hpp>

#include <algorithm>

namespace jaydrift::decide::batch {

namespace {

struct eviction_candidate
{
    task_ref ref;
    bool background = false;
    /// Run time since the last checkpoint that is known of, in milliseconds.
    std::int64_t loss = 0;
    resources demand;
    bool chosen = false;
};

/// Collects the running tasks of a worker, and adds up what tasks that are
/// being evicted already will free.
std::vector<eviction_candidate>
candidates(context& ctx, std::string_view worker, resources& coming)
{
    std::vector<eviction_candidate> result;
    auto const known = ctx.state.batch.workers.find(worker);
    if (known == ctx.state.batch.workers.end())
    {
        return result;
    }
    for (auto const& ref : known->second.placed)
    {
        auto const found = find_task(ctx, ref);
        if (!found)
        {
            continue;
        }
        auto const& demand = found.job->spec.demand;
        if (found.task->evicting || found.job->cancelled)
        {
            coming += demand;
        }
        else if (found.task->phase == task_phase::running)
        {
            result.push_back(
                {ref, found.job->priority == task_class::background,
                 (ctx.now - found.task->saved_at).count(), demand, false});
        }
    }
    std::sort(result.begin(), result.end(), [](auto const& a, auto const& b) {
        return std::pair(!a.background, a.loss)
               < std::pair(!b.background, b.loss);
    });
    return result;
}

bool choose(std::vector<eviction_candidate>& tasks, resources free,
            resources const& demand)
{
    for (auto& task : tasks)
    {
        if (fits(demand, free))
        {
            break;
        }
        task.chosen = true;
        free += task.demand;
    }
    if (!fits(demand, free))
    {
        return false;
    }
    // A later, larger task may have made an earlier one needless.
    for (auto task = tasks.rbegin(); task != tasks.rend(); ++task)
    {
        if (task->chosen && fits(demand, free - task->demand))
        {
            task->chosen = false;
            free -= task->demand;
        }
    }
    return true;
}

} // namespace

bool make_room(context& ctx, std::string_view worker, resources const& demand)
{
    if (!ownership::may_start(ctx.state, worker, ctx.now))
    {
        return false;
    }
    auto free = workers::available(ctx.state, worker, task_class::urgent);
    auto tasks = candidates(ctx, worker, free);
    if (!choose(tasks, free, demand))
    {
        return false;
    }
    for (auto const& task : tasks)
    {
        auto const found = find_task(ctx, task.ref);
        if (task.chosen && found)
        {
            shard_step const at{ctx, task.ref.shard,
                                *find_shard(ctx, task.ref.shard)};
            send_control(at, *found.job, task.ref.index, task_action::evict);
        }
    }
    return true;
}

} // namespace jaydrift::decide::batch
