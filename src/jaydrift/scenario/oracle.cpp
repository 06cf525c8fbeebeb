#include <jaydrift/scenario/oracle.hpp>

#include <jaydrift/standin/answer_body.hpp>

#include <algorithm>
#include <utility>

namespace jaydrift::scenario {

namespace {

/// How long after the platform marked a VM as leaving work may still be started
/// on it.
constexpr time_ms max_start_after_leaving{5000};

/// Number of violations that are kept.
constexpr std::size_t max_violations = 50;

/// Returns the job ID in a batch task's ID, which is `<job>/<index>`. An ID
/// without a slash is returned whole.
std::string job_of(std::string const& task)
{
    return task.substr(0, task.rfind('/'));
}

} // namespace

void oracle::add_violation(time_ms now, std::string description)
{
    if (violations_.size() < max_violations)
    {
        violations_.push_back(std::to_string(now.count())
                              + " ms: " + std::move(description));
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
            add_violation(now,
                          request + " was reported as not run but was started");
        }
    }
    if (result.outcome != request_outcome::completed)
    {
        return;
    }
    if (task.starts == 0)
    {
        add_violation(now,
                      request + " was reported as completed but never started");
    }
    if (result.answer != standin::answer_body(request, task.kind, task.payload))
    {
        add_violation(now,
                      request + " got an answer that is wrong or incomplete");
    }
}

void oracle::on_started(std::string const& worker, std::string const& zone,
                        standin::run_log_entry const& entry, time_ms now)
{
    auto& task = tasks_[entry.task];
    ++starts_;
    if (!task.running_on.empty())
    {
        add_violation(now, entry.task + " runs on " + *task.running_on.begin()
                               + " and was also started on " + worker);
    }
    if (task.starts == 0)
    {
        task.first_start = now;
    }
    ++task.starts;
    task.running_on.insert(worker);
    if (task.is_request && task.starts > 1)
    {
        add_violation(now, "request " + entry.task + " was started twice");
    }
    if (task.is_request && task.attempts == task.not_run)
    {
        add_violation(now, entry.task
                               + " was started after all its attempts were "
                                 "reported as not run");
    }
    if (is_closed(zone))
    {
        add_violation(now, entry.task + " was started in " + zone
                               + " after the zone was closed");
    }
    auto const leaving = leaving_since_.find(worker);
    if (leaving != leaving_since_.end()
        && now > leaving->second + max_start_after_leaving)
    {
        add_violation(now,
                      entry.task + " was started on the leaving VM " + worker);
    }
    if (job_ends_.contains(job_of(entry.task)))
    {
        add_violation(now, entry.task + " was started after its job had ended");
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
        add_violation(now, worker
                               + " runs tasks that need more processors, "
                                 "memory or accelerators than it has");
    }
}

void oracle::on_zone_closed(std::string const& zone, std::uint64_t version)
{
    closed_versions_[zone] = std::max(closed_versions_[zone], version);
}

void oracle::on_zone_open(std::string const& zone, std::uint64_t version)
{
    open_versions_[zone] = std::max(open_versions_[zone], version);
}

bool oracle::is_closed(std::string const& zone) const
{
    auto const closed = closed_versions_.find(zone);
    auto const open = open_versions_.find(zone);
    return closed != closed_versions_.end()
           && (open == open_versions_.end() || open->second < closed->second);
}

void oracle::on_leaving(std::string const& worker, time_ms now)
{
    leaving_since_[worker] = now;
}

void oracle::on_worker_replaced(std::string const& worker)
{
    leaving_since_.erase(worker);
}

void oracle::on_job_ended(std::string const& job, time_ms now)
{
    job_ends_[job] = now;
}

task_history const* oracle::history(std::string_view task) const
{
    auto const found = tasks_.find(task);
    return found == tasks_.end() ? nullptr : &found->second;
}

} // namespace jaydrift::scenario
