#include "batch_detail.hpp"

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

std::vector<ending_task> ending_tasks(context& step, std::string_view worker)
{
    std::vector<ending_task> ending;
    auto const known = step.state.batch.workers.find(worker);
    if (known == step.state.batch.workers.end())
    {
        return ending;
    }
    for (auto const& ref : known->second.placed)
    {
        if (auto const found = find_task(step, ref))
        {
            ending.push_back({expected_end(step.state, *found.job, *found.task),
                              found.job->spec.demand});
        }
    }
    std::sort(ending.begin(), ending.end(),
              [](auto const& a, auto const& b) { return a.at < b.at; });
    return ending;
}

/// Returns when a worker is expected to have room for the job if nothing else
/// is started on it.
time_ms room_at(context& step, std::string_view worker, batch_job const& job)
{
    auto free = workers::available(step.state, worker, job.priority);
    if (fits(job.spec.demand, free))
    {
        return step.now;
    }
    for (auto const& task : ending_tasks(step, worker))
    {
        free += task.demand;
        if (fits(job.spec.demand, free))
        {
            return std::max(step.now, task.at);
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
           && workers::usable(at.step.state, reservation->worker, at.step.now);
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
        auto const when = workers::usable(at.step.state, worker, at.step.now)
                              ? room_at(at.step, worker, job)
                              : never;
        if (when < earliest)
        {
            earliest = when;
            at.work.reservation = {job.spec.id, std::string(worker)};
        }
    }
}

} // namespace jaydrift::decide::batch
