#include <jaydrift/decide/batch_steps.hpp>

#include <jaydrift/decide/ownership.hpp>
#include <jaydrift/decide/workers.hpp>

#include <algorithm>

namespace jaydrift::decide::batch {

namespace {

/// Bounds the work of one pass: 64 starts every 500 ms in each of 28 shards
/// are far above the peak of 570 task starts a second.
constexpr std::uint32_t max_starts = 64;

/// A pass ends after it found no worker for this many jobs.
constexpr std::uint32_t max_blocked_jobs = 16;

constexpr time_ms pass_interval{500};
constexpr time_ms retry_interval{1000};

/// Time that a job finds no room before a worker is kept free for it.
constexpr time_ms reserve_after{30000};

/// Added to the expected slowdown, in thousandths, for each task of the job in
/// the same rack, so that the failure of one rack stops few tasks of a job.
constexpr std::int64_t rack_penalty_permille = 50;

/// Number of jobs at the front of a queue among which the next one to try is
/// looked for.
constexpr std::uint32_t max_jobs_examined = 32;

/// The queue of one class and team within a pass.
struct team_queue
{
    std::pair<task_class, std::string> key;

    /// Part of its quota that the team uses in the shard, in thousandths.
    std::int64_t used_quota_permille = 0;

    /// No job of the queue can be tried any more in this pass.
    bool exhausted = false;
};

/// Tells whether an attempt of the task may be started on the worker now.
bool may_use(shard_scope const& scope, std::string_view worker,
             batch_job const& job, std::string_view task)
{
    auto const& state = scope.ctx.state;
    auto const& reserved = scope.work.reserved;
    if (reserved && reserved->worker == worker && reserved->job != job.spec.id)
    {
        return false;
    }
    auto const known = state.batch.workers.find(worker);
    if (known != state.batch.workers.end()
        && known->second.ended_tasks.contains(task))
    {
        return false;
    }
    return ownership::may_start(state, worker, scope.ctx.now)
           && workers::usable(state, worker, scope.ctx.now)
           && has_room(state, worker, job);
}

/// Returns how bad a worker is for a task of the job; the lowest is chosen.
std::int64_t placement_cost(daemon_state const& state, std::string_view worker,
                            batch_job const& job)
{
    auto result = workers::expected_slowdown(state, worker, job.spec.kind);
    auto const* const vm = workers::find(state, worker);
    auto const rack =
        vm == nullptr ? job.racks.end() : job.racks.find(vm->rack);
    if (rack != job.racks.end())
    {
        result += rack_penalty_permille * rack->second;
    }
    return result;
}

/// One pass over the queues of a shard.
class scheduling_pass
{
public:
    explicit scheduling_pass(shard_scope const& scope)
        : scope_(scope),
          workers_(workers::names_of_shard(scope.ctx.state, scope.shard))
    {
        for (auto const& [key, jobs] : scope.work.queues)
        {
            team_queues_.push_back(
                {key, used_quota_permille(scope, key.second), false});
        }
    }

    void run()
    {
        std::uint32_t starts = 0;
        while (starts < max_starts && blocked_jobs_ < max_blocked_jobs
               && !workers_.empty())
        {
            auto* const queue = next_queue();
            if (queue == nullptr)
            {
                return;
            }
            if (start_next(*queue))
            {
                ++starts;
                queue->used_quota_permille =
                    used_quota_permille(scope_, queue->key.second);
            }
        }
    }

private:
    /// Returns the queue to serve next: that of the team which uses the least
    /// of its quota, batch before background. Null if all are exhausted.
    team_queue* next_queue()
    {
        team_queue* best = nullptr;
        for (auto& queue : team_queues_)
        {
            if (queue.exhausted)
            {
                continue;
            }
            if (best == nullptr
                || std::pair(queue.key.first, queue.used_quota_permille)
                       < std::pair(best->key.first, best->used_quota_permille))
            {
                best = &queue;
            }
        }
        return best;
    }

    /// Returns the first job of the queue that may be tried now, or null.
    batch_job* next_job(team_queue const& queue)
    {
        auto const found = scope_.work.queues.find(queue.key);
        if (found == scope_.work.queues.end())
        {
            return nullptr;
        }
        std::uint32_t examined = 0;
        for (auto const& [order, id] : found->second)
        {
            auto* const job = find_job(scope_.work, id);
            if (job != nullptr && job->retry_at <= scope_.ctx.now)
            {
                return job;
            }
            if (++examined == max_jobs_examined)
            {
                return nullptr;
            }
        }
        return nullptr;
    }

    /// Starts one task of the queue. Returns false if none was started.
    bool start_next(team_queue& queue)
    {
        auto* const job = next_job(queue);
        if (job == nullptr)
        {
            queue.exhausted = true;
            return false;
        }
        auto const index = next_waiting(*job);
        if (!index)
        {
            refresh_queue(scope_, *job);
            return false;
        }
        if (!within_quota(scope_, *job))
        {
            job->retry_at = scope_.ctx.now + retry_interval;
            return false;
        }
        auto const candidates = sample_workers(scope_.ctx, workers_);
        auto const worker = choose_worker(candidates, *job, *index);
        if (worker.empty())
        {
            mark_blocked(*job, candidates);
            return false;
        }
        clear_blocked(*job);
        job->waiting.pop_front();
        start(scope_, *job, *index, worker);
        refresh_queue(scope_, *job);
        return true;
    }

    /// Returns the best worker for a task; empty if none may be used.
    std::string_view choose_worker(std::span<std::string_view const> candidates,
                                   batch_job const& job, std::uint32_t index)
    {
        auto const task = task_id(job.spec.id, index);
        auto const& reserved = scope_.work.reserved;
        if (reserved && reserved->job == job.spec.id
            && may_use(scope_, reserved->worker, job, task))
        {
            return reserved->worker;
        }
        std::string_view best;
        std::int64_t best_cost = 0;
        for (auto const worker : candidates)
        {
            if (!may_use(scope_, worker, job, task))
            {
                continue;
            }
            auto const worker_cost =
                placement_cost(scope_.ctx.state, worker, job);
            if (best.empty() || worker_cost < best_cost)
            {
                best = worker;
                best_cost = worker_cost;
            }
        }
        return best;
    }

    /// Delays a job that found no room. Once it has waited long, parks it if
    /// no worker can ever run it, and else reserves a worker for it.
    void mark_blocked(batch_job& job,
                      std::span<std::string_view const> candidates)
    {
        ++blocked_jobs_;
        job.retry_at = scope_.ctx.now + retry_interval;
        if (!job.blocked_since)
        {
            job.blocked_since = scope_.ctx.now;
        }
        if (*job.blocked_since + reserve_after > scope_.ctx.now)
        {
            return;
        }
        job.unplaceable_reason =
            unplaceable_reason(scope_.ctx.state, scope_.shard, job);
        if (!job.unplaceable_reason.empty())
        {
            scope_.work.unplaceable.insert(job.spec.id);
            refresh_queue(scope_, job);
            return;
        }
        reserve_worker(scope_, job, candidates);
    }

    void clear_blocked(batch_job& job)
    {
        job.blocked_since.reset();
        auto& reserved = scope_.work.reserved;
        if (reserved && reserved->job == job.spec.id)
        {
            reserved.reset();
        }
    }

    shard_scope const& scope_;
    std::span<std::string const> workers_;
    std::vector<team_queue> team_queues_;
    std::uint32_t blocked_jobs_ = 0;
};

} // namespace

bool has_room(daemon_state const& state, std::string_view worker,
              batch_job const& job)
{
    return fits(job.spec.demand,
                workers::available(state, worker, job.priority));
}

std::vector<std::string_view>
sample_workers(context& ctx, std::span<std::string const> workers)
{
    constexpr std::size_t sample_size = 16;
    std::vector<std::string_view> chosen;
    auto const count = std::min(sample_size, workers.size());
    chosen.reserve(count);
    auto const first =
        workers.empty() ? 0 : ctx.state.random.below(workers.size());
    for (std::size_t offset = 0; offset < count; ++offset)
    {
        chosen.push_back(workers[(first + offset) % workers.size()]);
    }
    return chosen;
}

void schedule(shard_scope const& scope)
{
    if (ownership::serving(scope.ctx.state, scope.shard, scope.ctx.now))
    {
        scheduling_pass(scope).run();
    }
    // The authority to serve the shard may lapse and be renewed without any
    // event for batch work, so waiting jobs always get another pass.
    if (!scope.work.queues.empty())
    {
        wake(scope, scope.ctx.now + pass_interval);
    }
}

} // namespace jaydrift::decide::batch
