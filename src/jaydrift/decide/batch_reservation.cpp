#include <jaydrift/decide/batch_steps.hpp>

#include <jaydrift/decide/policy.hpp>
#include <jaydrift/decide/workers.hpp>

#include <algorithm>
#include <limits>

namespace jaydrift::decide::batch {

namespace {

constexpr time_ms never{std::numeric_limits<std::int64_t>::max()};

struct ending_task
{
    time_ms at;
    resources demand;
};

std::vector<ending_task> ending_tasks(context& ctx, std::string_view worker)
{
    std::vector<ending_task> ending;
    auto const known = ctx.state.batch.workers.find(worker);
    if (known == ctx.state.batch.workers.end())
    {
        return ending;
    }
    for (auto const& ref : known->second.placed)
    {
        if (auto const found = find_task(ctx, ref))
        {
            ending.push_back({expected_end(ctx.state, *found.job, *found.task),
                              found.job->spec.demand});
        }
    }
    std::sort(ending.begin(), ending.end(),
              [](auto const& a, auto const& b) { return a.at < b.at; });
    return ending;
}

/// Returns when a worker is expected to have room for the job if nothing else
/// is started on it.
time_ms room_at(context& ctx, std::string_view worker, batch_job const& job)
{
    auto free = workers::available(ctx.state, worker, job.priority);
    if (fits(job.spec.demand, free))
    {
        return ctx.now;
    }
    for (auto const& task : ending_tasks(ctx, worker))
    {
        free += task.demand;
        if (fits(job.spec.demand, free))
        {
            return std::max(ctx.now, task.at);
        }
    }
    return never;
}

/// Tells whether the reservation still serves a waiting job.
bool in_use(shard_step const& at)
{
    auto const& reservation = at.work.reservation;
    if (!reservation)
    {
        return false;
    }
    auto const* const job = find_job(at.work, reservation->job);
    return job != nullptr && job->startable() && !job->waiting.empty()
           && workers::usable(at.ctx.state, reservation->worker, at.ctx.now);
}

} // namespace

void reserve_worker(shard_step const& at, batch_job& job,
                    std::span<std::string_view const> workers)
{
    if (in_use(at))
    {
        return;
    }
    at.work.reservation.reset();
    auto earliest = never;
    for (auto const worker : workers)
    {
        auto const when = workers::usable(at.ctx.state, worker, at.ctx.now)
                              ? room_at(at.ctx, worker, job)
                              : never;
        if (when < earliest)
        {
            earliest = when;
            at.work.reservation = {job.spec.id, std::string(worker)};
        }
    }
}

} // namespace jaydrift::decide::batch
