#include <jaydrift/decide/job_table.hpp>

#include <algorithm>

namespace jaydrift::decide {

namespace {

// Upper estimates of the length of parts of a job's text, in bytes.

/// The numbers of a job.
constexpr std::size_t job_bytes = 100;

/// A range of finished tasks.
constexpr std::size_t range_bytes = 16;

/// An attempt that ended.
constexpr std::size_t attempt_bytes = 40;

/// Applies one record to a table. Each call returns whether the table changed.
class record_applier
{
public:
    explicit record_applier(job_table& table) : table_(table) {}

    bool operator()(submit_record const& record)
    {
        auto const [entry, added] = table_.jobs.try_emplace(record.spec.id);
        if (!added)
        {
            return false;
        }
        auto& job = entry->second;
        job.spec = record.spec;
        job.priority = record.priority;
        job.order = ++table_.last_order;
        job.tasks.resize(record.spec.task_count);
        grow(job, encode(batch_record(record)).size() + job_bytes);
        return true;
    }

    bool operator()(finish_record const& record)
    {
        auto* const job = open_job(record.job);
        auto* const task = open_task(job, record.index);
        if (task == nullptr)
        {
            return false;
        }
        task->phase = task_phase::done;
        ++job->finished;
        grow(*job, range_bytes);
        close_if_finished(*job);
        return true;
    }

    bool operator()(evict_record const& record)
    {
        auto* const job = open_job(record.job);
        auto* const task = open_task(job, record.index);
        if (task == nullptr || record.attempt <= task->ended_attempt)
        {
            return false;
        }
        end_attempt(*task, record.attempt);
        task->checkpoint_ms =
            std::max(task->checkpoint_ms, record.checkpoint_ms);
        ++job->evictions;
        grow(*job, attempt_bytes);
        return true;
    }

    bool operator()(fail_record const& record)
    {
        auto* const job = open_job(record.job);
        auto* const task = open_task(job, record.index);
        if (task == nullptr || record.attempt <= task->ended_attempt)
        {
            return false;
        }
        end_attempt(*task, record.attempt);
        grow(*job, attempt_bytes + record.reason.size());
        if (++task->failures >= max_failures && job->failure.empty())
        {
            job->failure = "task " + std::to_string(record.index) + " failed "
                           + std::to_string(max_failures)
                           + " times: " + record.reason;
        }
        return true;
    }

    bool operator()(cancel_record const& record)
    {
        auto* const job = open_job(record.job);
        if (job == nullptr)
        {
            return false;
        }
        job->cancelled = true;
        job->waiting.clear();
        table_.closed.push_back(record.job);
        return true;
    }

private:
    batch_job* open_job(std::string const& id)
    {
        auto const found = table_.jobs.find(id);
        return found == table_.jobs.end() || found->second.closed()
                   ? nullptr
                   : &found->second;
    }

    static batch_task* open_task(batch_job* job, std::uint32_t index)
    {
        if (job == nullptr || index >= job->tasks.size()
            || job->tasks[index].phase == task_phase::done)
        {
            return nullptr;
        }
        return &job->tasks[index];
    }

    void grow(batch_job& job, std::size_t bytes)
    {
        job.bytes += bytes;
        table_.bytes += bytes;
    }

    static void end_attempt(batch_task& task, std::uint32_t attempt)
    {
        task.ended_attempt = attempt;
        task.attempt = std::max(task.attempt, attempt);
    }

    void close_if_finished(batch_job& job)
    {
        if (job.closed())
        {
            job.waiting.clear();
            table_.closed.push_back(job.spec.id);
        }
    }

    job_table& table_;
};

job_state state_of(batch_job const& job)
{
    if (job.cancelled)
    {
        return job_state::cancelled;
    }
    if (job.closed())
    {
        return job_state::finished;
    }
    if (!job.failure.empty() || !job.unplaceable_reason.empty())
    {
        return job_state::parked;
    }
    return job.placed.empty() && job.finished == 0 ? job_state::waiting
                                                   : job_state::running;
}

} // namespace

bool apply(job_table& table, batch_record const& record)
{
    return std::visit(record_applier(table), record);
}

void forget_old_jobs(job_table& table)
{
    while (table.closed.size() > max_closed_jobs)
    {
        auto const job = table.jobs.find(table.closed.front());
        if (job != table.jobs.end() && !job->second.placed.empty())
        {
            return;
        }
        if (job != table.jobs.end())
        {
            table.bytes -= job->second.bytes;
            table.jobs.erase(job);
        }
        table.closed.pop_front();
    }
}

job_status status_of(batch_job const& job)
{
    job_status status;
    status.id = job.spec.id;
    status.state = state_of(job);
    status.task_count = job.spec.task_count;
    status.finished = job.finished;
    status.running = static_cast<std::uint32_t>(job.placed.size());
    status.evictions = job.evictions;
    status.reason = job.failure.empty() ? job.unplaceable_reason : job.failure;
    return status;
}

bool same_content(job_spec const& left, job_spec const& right)
{
    return left.id == right.id && left.kind == right.kind
           && left.team == right.team && left.home_region == right.home_region
           && left.task_count == right.task_count && left.demand == right.demand
           && left.run_time_ms == right.run_time_ms;
}

} // namespace jaydrift::decide
