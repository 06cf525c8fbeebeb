#include <jaydrift/scenario/oracle.hpp>

#include <jaydrift/standin/answer_body.hpp>

#include <algorithm>
#include <utility>

namespace jaydrift::scenario {

namespace {

/// A leaving VM receives no new work after this time.
constexpr time_ms leaving_limit{5000};
constexpr std::size_t max_violations = 50;

/// Returns the job of a batch task's ID, which is `<job>/<index>`.
std::string job_of(std::string const& task)
{
    return task.substr(0, task.rfind('/'));
}

} // namespace

void oracle::violate(time_ms now, std::string text)
{
    if (violations_.size() < max_violations)
    {
        violations_.push_back(std::to_string(now.count())
                              + " ms: " + std::move(text));
    }
}

void oracle::on_submitted(std::string const& request, std::string const& kind,
                          std::string const& payload)
{
    auto& task = tasks_[request];
    task.is_request = true;
    task.kind = kind;
    task.payload = payload;
    ++task.attempts;
}

void oracle::on_answered(std::string const& request,
                         request_result const& result, time_ms now)
{
    auto& task = tasks_[request];
    if (result.outcome == request_outcome::not_run)
    {
        ++task.not_run;
        if (task.starts > 0)
        {
            violate(now, request + " was reported as not run but was started");
        }
    }
    if (result.outcome != request_outcome::completed)
    {
        return;
    }
    if (task.starts == 0)
    {
        violate(now, request + " was reported as completed but never started");
    }
    if (result.answer != standin::answer_body(request, task.kind, task.payload))
    {
        violate(now, request + " got an answer that is not its own or whole");
    }
}

void oracle::on_started(std::string const& worker, std::string const& zone,
                        standin::run_log_entry const& entry, time_ms now)
{
    auto& task = tasks_[entry.task];
    ++starts_;
    if (!task.running_on.empty())
    {
        violate(now, entry.task + " runs on " + *task.running_on.begin()
                         + " and was started on " + worker);
    }
    if (task.starts == 0)
    {
        task.first_start = now;
    }
    ++task.starts;
    task.running_on.insert(worker);
    if (task.is_request && task.starts > 1)
    {
        violate(now, "request " + entry.task + " was started twice");
    }
    if (task.is_request && task.attempts == task.not_run)
    {
        violate(now, entry.task
                         + " was started after it was reported as not "
                           "run");
    }
    if (is_closed(zone))
    {
        violate(now, entry.task + " was started in " + zone
                         + " after its close was in force");
    }
    auto const leaving = leaving_.find(worker);
    if (leaving != leaving_.end() && now > leaving->second + leaving_limit)
    {
        violate(now, entry.task + " was started on the leaving VM " + worker);
    }
    if (ended_jobs_.contains(job_of(entry.task)))
    {
        violate(now, entry.task + " was started after its job had ended");
    }
}

void oracle::on_runs(std::string const& worker, std::string const& zone,
                     std::span<standin::run_log_entry const> entries,
                     time_ms now)
{
    for (auto const& entry : entries)
    {
        if (entry.change == standin::run_change::started)
        {
            on_started(worker, zone, entry, now);
            continue;
        }
        auto& task = tasks_[entry.task];
        task.running_on.erase(worker);
        if (entry.change == standin::run_change::withdrawn)
        {
            --task.starts;
        }
    }
}

void oracle::on_worker_died(std::string const& worker)
{
    for (auto& [id, task] : tasks_)
    {
        task.running_on.erase(worker);
    }
}

void oracle::on_resources(std::string const& worker, resources const& held,
                          resources const& capacity, time_ms now)
{
    if (!fits(held, capacity))
    {
        violate(now, worker
                         + " holds more than its processors, memory or "
                           "accelerators");
    }
}

void oracle::on_zone_closed(std::string const& zone, std::uint64_t version)
{
    closed_[zone] = std::max(closed_[zone], version);
}

void oracle::on_zone_open(std::string const& zone, std::uint64_t version)
{
    open_[zone] = std::max(open_[zone], version);
}

bool oracle::is_closed(std::string const& zone) const
{
    auto const closed = closed_.find(zone);
    auto const open = open_.find(zone);
    return closed != closed_.end()
           && (open == open_.end() || open->second < closed->second);
}

void oracle::on_leaving(std::string const& worker, time_ms now)
{
    leaving_[worker] = now;
}

void oracle::on_worker_replaced(std::string const& worker)
{
    leaving_.erase(worker);
}

void oracle::on_job_ended(std::string const& job, time_ms now)
{
    ended_jobs_[job] = now;
}

task_history const* oracle::history(std::string_view task) const
{
    auto const found = tasks_.find(task);
    return found == tasks_.end() ? nullptr : &found->second;
}

} // namespace jaydrift::scenario
