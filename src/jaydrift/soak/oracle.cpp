#include <jaydrift/soak/oracle.hpp>

#include <jaydrift/codec/codec_error.hpp>
#include <jaydrift/soak/task_name.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace jaydrift::soak {

namespace {

/// Text of a task of the first occurrence, as `parse_task` reads it.
std::string task_text(std::string const& id, std::uint32_t step,
                      std::uint32_t index)
{
    return id + ".0." + std::to_string(step) + "." + std::to_string(index);
}

} // namespace

task_name parse_task(std::string_view text)
{
    std::uint32_t parts[3] = {};
    auto rest = text;
    for (auto i = 3; i-- > 0;)
    {
        auto const dot = rest.rfind('.');
        if (dot == std::string_view::npos)
        {
            throw codec::codec_error(
                "task '" + std::string(text)
                + "' is not of the form submission.occurrence."
                  "step.index");
        }
        std::from_chars(rest.data() + dot + 1, rest.data() + rest.size(),
                        parts[i]);
        rest.remove_suffix(rest.size() - dot);
    }
    return {std::string(rest), parts[1], parts[2]};
}

void oracle::planned(std::string const& id, submission_plan plan)
{
    submissions_[id].plan = std::move(plan);
}

void oracle::accepted(std::string const& id, time_ms now)
{
    auto& submission = submissions_.at(id);
    if (!submission.accepted_at)
    {
        submission.accepted_at = now;
    }
}

void oracle::refused(std::string const& id)
{
    auto& submission = submissions_.at(id);
    if (submission.accepted_at)
    {
        // A duplicate of the submission reached a daemon that refused it.
        return;
    }
    submission.refused = true;
    if (submission.started)
    {
        add_violation(id + " was refused, but a task of it has started");
    }
}

void oracle::forbid_restarts(std::string const& id, bool forbidden)
{
    submissions_.at(id).restarts_forbidden = forbidden;
}

void oracle::cancel_sent(std::string const& id)
{
    submissions_.at(id).cancel_sent = true;
}

void oracle::cancelled(std::string const& id, time_ms now)
{
    auto& submission = submissions_.at(id);
    submission.ended = true;
    if (!submission.cancelled_at)
    {
        submission.cancelled_at = now;
    }
}

submission_plan const* oracle::plan(std::string const& id) const
{
    auto const found = submissions_.find(id);
    return found == submissions_.end() ? nullptr : &found->second.plan;
}

bool oracle::step_done(submission_record const& submission,
                       std::string const& id, std::uint32_t step) const
{
    for (std::uint32_t i = 0; i < submission.plan.steps[step].count; ++i)
    {
        auto const found = submission.tasks.find(task_text(id, step, i));
        if (found == submission.tasks.end() || !found->second.done)
        {
            return false;
        }
    }
    return true;
}

void oracle::started(std::string const& task, std::uint64_t run,
                     std::string const& worker, std::string const& payload,
                     time_ms now)
{
    ++starts_;
    auto const name = parse_task(task);
    auto const found = submissions_.find(name.submission);
    if (found == submissions_.end()
        || name.step >= found->second.plan.steps.size()
        || name.index >= found->second.plan.steps[name.step].count
        || payload != found->second.plan.payload)
    {
        add_violation(task + " does not match any submission of the callers");
        return;
    }
    auto& submission = found->second;
    auto const& step = submission.plan.steps[name.step];
    auto& record = submission.tasks[task];
    submission.started = true;
    submission.last_start = now;
    if (submission.refused)
    {
        add_violation(task + " started after its submission was refused");
    }
    if (submission.cancelled_at
        && now - *submission.cancelled_at > cancel_limit)
    {
        add_violation(task + " started after its submission was cancelled");
    }
    if (!record.running.empty())
    {
        add_violation(task + " runs twice, on " + worker + " and "
                      + record.running.begin()->second);
    }
    if (record.done && record.acknowledged && !step.long_running)
    {
        add_violation(task + " started again after its end was acknowledged");
    }
    if (record.done && submission.restarts_forbidden)
    {
        add_violation(task + " started again after it was done");
    }
    for (auto const earlier : step.after)
    {
        if (!step_done(submission, name.submission, earlier))
        {
            add_violation(task + " started before step "
                          + std::to_string(earlier) + " was done");
        }
    }
    record.running[run] = worker;
}

void oracle::ended(std::string const& task, std::uint64_t run, bool done)
{
    auto const found = submissions_.find(parse_task(task).submission);
    if (found != submissions_.end())
    {
        auto& record = found->second.tasks[task];
        record.running.erase(run);
        record.done = record.done || done;
    }
}

void oracle::acknowledged(std::string const& task, bool done)
{
    auto const found = submissions_.find(parse_task(task).submission);
    if (done && found != submissions_.end())
    {
        found->second.tasks[task].acknowledged = true;
    }
}

void oracle::shown(std::string const& id, std::string const& state)
{
    auto& submission = submissions_.at(id);
    if (state == "completed")
    {
        for (std::uint32_t i = 0; i < submission.plan.steps.size(); ++i)
        {
            if (!step_done(submission, id, i))
            {
                add_violation(
                    id
                    + " is shown as completed, but not all its tasks are done");
            }
        }
    }
    if (state == "cancelled" && !submission.cancel_sent)
    {
        add_violation(id + " is shown as cancelled, but no cancel was sent");
    }
    submission.ended = submission.ended || state == "completed"
                       || state == "failed" || state == "cancelled";
}

std::vector<std::string> oracle::unfinished_submissions() const
{
    std::vector<std::string> result;
    for (auto const& [id, submission] : submissions_)
    {
        if (submission.accepted_at && !submission.ended
            && !submission.plan.steps[0].long_running)
        {
            result.push_back(id);
        }
    }
    return result;
}

std::vector<std::string> oracle::long_running_submissions() const
{
    std::vector<std::string> result;
    for (auto const& [id, submission] : submissions_)
    {
        if (submission.accepted_at && !submission.ended
            && submission.plan.steps[0].long_running)
        {
            result.push_back(id);
        }
    }
    return result;
}

std::vector<std::string> oracle::cancelled_submissions() const
{
    std::vector<std::string> result;
    for (auto const& [id, submission] : submissions_)
    {
        if (submission.cancelled_at)
        {
            result.push_back(id);
        }
    }
    return result;
}

std::optional<time_ms> oracle::accepted_at(std::string const& id) const
{
    auto const found = submissions_.find(id);
    return found == submissions_.end() ? std::nullopt
                                       : found->second.accepted_at;
}

std::size_t oracle::running_tasks(std::string const& id) const
{
    auto const& tasks = submissions_.at(id).tasks;
    return static_cast<std::size_t>(
        std::count_if(tasks.begin(), tasks.end(), [](auto const& each) {
            return !each.second.running.empty();
        }));
}

time_ms oracle::last_start(std::string const& id) const
{
    return submissions_.at(id).last_start;
}

step_plan const* oracle::ready_step(std::string const& id) const
{
    auto const& submission = submissions_.at(id);
    auto const& steps = submission.plan.steps;
    for (std::uint32_t i = 0; i < steps.size(); ++i)
    {
        if (!step_done(submission, id, i))
        {
            return &steps[i];
        }
    }
    return nullptr;
}

std::size_t oracle::accepted_count() const
{
    return static_cast<std::size_t>(std::count_if(
        submissions_.begin(), submissions_.end(),
        [](auto const& each) { return each.second.accepted_at.has_value(); }));
}

void oracle::add_violation(std::string const& text)
{
    if (known_violations_.insert(text).second)
    {
        violations_.push_back(text);
    }
}

} // namespace jaydrift::soak
