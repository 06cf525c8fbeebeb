#include "invariants_test.hpp"

#include <jaydrift/schedule/daemon_state.hpp>

#include <algorithm>
#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace jaydrift::schedule::testing {

namespace {

std::string name_of(task_id const& id)
{
    return id.submission + "." + std::to_string(id.occurrence) + "."
           + std::to_string(id.step) + "." + std::to_string(id.index);
}

/// Returns what differs, or an empty text.
template<class Value>
std::string difference(std::string_view what, Value counted, Value actual)
{
    return counted == actual
               ? std::string()
               : std::string(what) + " is " + std::to_string(counted)
                     + " instead of " + std::to_string(actual);
}

/// Returns the first text that is not empty.
std::string first_of(std::initializer_list<std::string> texts)
{
    auto const found =
        std::find_if(texts.begin(), texts.end(),
                     [](auto const& each) { return !each.empty(); });
    return found == texts.end() ? std::string() : *found;
}

bool is_done(step_state const& step) { return step.done == step.tasks.size(); }

std::string broken_in_place(shard_state const& shard, task_id const& id,
                            task_state const& task)
{
    if (!task.place)
    {
        return {};
    }
    if (task.done)
    {
        return "a done task has a place";
    }
    if (task.elsewhere)
    {
        return "a task that is elsewhere has a place";
    }
    auto const worker = shard.workers.find(task.place->worker);
    if (worker == shard.workers.end())
    {
        return "the task is on an unknown worker";
    }
    return worker->second.runs.contains({id, task.place->run})
               ? std::string()
               : worker->first + " does not have run "
                     + std::to_string(task.place->run);
}

std::string broken_in_step(submission_state const& submission,
                           occurrence_state const& occurrence,
                           std::uint32_t index)
{
    auto const& step = occurrence.steps[index];
    auto const count = [&step](auto matches) {
        return static_cast<std::uint32_t>(
            std::count_if(step.tasks.begin(), step.tasks.end(), matches));
    };
    auto const& after = submission.work.steps[index].after;
    auto const ready =
        std::all_of(after.begin(), after.end(), [&](auto earlier) {
            return is_done(occurrence.steps[earlier]);
        });
    return first_of(
        {difference("step.done", step.done,
                    count([](auto const& task) { return task.done; })),
         difference("step.waiting_tasks", step.waiting_tasks,
                    count([](auto const& task) {
                        return !task.done && !task.place && !task.elsewhere;
                    })),
         // Nothing becomes ready in a submission that has ended.
         difference("step.ready", step.ready,
                    ready && (step.ready || !ended(submission.phase)))});
}

std::string broken_in_submission(shard_state const& shard,
                                 submission_state const& submission)
{
    std::uint32_t waiting = 0;
    for (std::uint32_t i = 0; i < submission.occurrences.size(); ++i)
    {
        auto const& occurrence = submission.occurrences[i];
        for (std::uint32_t j = 0; j < occurrence.steps.size(); ++j)
        {
            auto const& step = occurrence.steps[j];
            auto const broken = broken_in_step(submission, occurrence, j);
            if (!broken.empty())
            {
                return name_of({submission.id, i, j, 0}) + ": " + broken;
            }
            waiting += step.ready ? step.waiting_tasks : 0;
            for (std::uint32_t k = 0; k < step.tasks.size(); ++k)
            {
                task_id const id{submission.id, i, j, k};
                auto const place = broken_in_place(shard, id, step.tasks[k]);
                if (!place.empty() && !ended(submission.phase))
                {
                    return name_of(id) + ": " + place;
                }
            }
        }
        auto const done = difference(
            "steps_done", occurrence.steps_done,
            static_cast<std::uint32_t>(std::count_if(
                occurrence.steps.begin(), occurrence.steps.end(), is_done)));
        if (!done.empty())
        {
            return submission.id + "." + std::to_string(i) + ": " + done;
        }
    }
    auto const broken =
        first_of({difference("waiting_tasks", submission.waiting_tasks,
                             ended(submission.phase) ? 0U : waiting),
                  difference("active", shard.active.contains(submission.id),
                             !ended(submission.phase))});
    return broken.empty() ? broken : submission.id + ": " + broken;
}

/// Checks a run that is not being stopped.
std::string broken_in_run(shard_state const& shard, std::string const& worker,
                          run_id const& id)
{
    auto const submission = shard.submissions.find(id.task.submission);
    if (submission == shard.submissions.end())
    {
        return "the submission is unknown";
    }
    if (ended(submission->second.phase))
    {
        return {};
    }
    auto const& occurrences = submission->second.occurrences;
    if (id.task.occurrence >= occurrences.size()
        || id.task.step >= occurrences[id.task.occurrence].steps.size())
    {
        return "the step is unknown";
    }
    auto const& tasks =
        occurrences[id.task.occurrence].steps[id.task.step].tasks;
    if (id.task.index >= tasks.size())
    {
        return "the task is unknown";
    }
    auto const& task = tasks[id.task.index];
    if (!task.place)
    {
        return task.done ? "the task is done" : "the task has no place";
    }
    return task.place->worker == worker && task.place->run == id.number
               ? std::string()
               : "the task has run " + std::to_string(task.place->run) + " on "
                     + task.place->worker;
}

std::string broken_in_worker(shard_state const& shard,
                             worker_state const& worker)
{
    resources used;
    std::int64_t opportunistic = 0;
    std::int64_t long_running = 0;
    for (auto const& [id, run] : worker.runs)
    {
        auto counted = run.demand;
        if (run.opportunistic)
        {
            opportunistic += counted.millicores * run.pace_limit / full_pace;
            counted.millicores = 0;
        }
        long_running += run.long_running ? counted.millicores : 0;
        used += counted;
        auto const broken = run.phase == run_phase::stopping
                                ? std::string()
                                : broken_in_run(shard, worker.entry.id, id);
        if (!broken.empty())
        {
            return worker.entry.id + " has run " + std::to_string(id.number)
                   + " of " + name_of(id.task) + ": " + broken;
        }
    }
    auto const broken = first_of(
        {difference("used.millicores", worker.used.millicores, used.millicores),
         difference("used.memory_mb", worker.used.memory_mb, used.memory_mb),
         difference("used.accelerators", worker.used.accelerators,
                    used.accelerators),
         difference("opportunistic_millicores", worker.opportunistic_millicores,
                    opportunistic),
         difference("long_running_millicores", worker.long_running_millicores,
                    long_running)});
    return broken.empty() ? broken : worker.entry.id + ": " + broken;
}

std::string broken_in_shard(shard_state const& shard)
{
    for (auto const& [id, submission] : shard.submissions)
    {
        auto broken = broken_in_submission(shard, submission);
        if (!broken.empty())
        {
            return broken;
        }
    }
    for (auto const& id : shard.active)
    {
        if (!shard.submissions.contains(id))
        {
            return id + " is active and unknown";
        }
    }
    for (auto const& [id, worker] : shard.workers)
    {
        auto broken = broken_in_worker(shard, worker);
        if (!broken.empty())
        {
            return broken;
        }
    }
    return {};
}

} // namespace

std::string broken_invariant(daemon_state const& state)
{
    for (auto const& shard : state.shards)
    {
        auto broken = shard.ownership.role == owner_role::owner
                          ? broken_in_shard(shard)
                          : std::string();
        if (!broken.empty())
        {
            return broken;
        }
    }
    return {};
}

} // namespace jaydrift::schedule::testing
