#include <jaydrift/schedule/submissions.hpp>

#include <jaydrift/schedule/record_log.hpp>
#include <jaydrift/schedule/recovery.hpp>
#include <jaydrift/schedule/run_numbers.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/workers.hpp>

#include <algorithm>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jaydrift::schedule::submissions {

namespace {

/// A long-running task that ended starts again after this.
constexpr time_ms restart_pause{50};

/// Attempts of a task whose queue has been removed.
constexpr std::uint32_t default_attempts = 3;

/// Looks for submissions whose retention is over.
constexpr time_ms expiry_interval{1000};

queue const* queue_of(shard_context const& c, std::string_view name)
{
    if (!c.s.config)
    {
        return nullptr;
    }
    auto const& queues = c.s.config->queues;
    auto const found =
        std::find_if(queues.begin(), queues.end(),
                     [name](queue const& each) { return each.name == name; });
    return found == queues.end() ? nullptr : &*found;
}

void apply(submission_state& item, queue const& settings)
{
    item.service = settings.service;
    item.priority = settings.priority;
    item.max_attempts = settings.max_attempts;
}

time_ms longest_chain(submission const& work)
{
    std::vector<time_ms> finish(work.steps.size());
    time_ms longest;
    for (std::size_t i = 0; i < work.steps.size(); ++i)
    {
        time_ms start;
        for (auto const earlier : work.steps[i].after)
        {
            start = std::max(start, finish[earlier]);
        }
        finish[i] = start + work.steps[i].estimate;
        longest = std::max(longest, finish[i]);
    }
    return longest;
}

void open_ready_steps(submission_state& item, occurrence_state& occurrence)
{
    for (std::size_t i = 0; i < occurrence.steps.size(); ++i)
    {
        auto& step = occurrence.steps[i];
        auto const& after = item.work.steps[i].after;
        if (step.ready
            || !std::all_of(after.begin(), after.end(), [&](auto earlier) {
                   auto const& other = occurrence.steps[earlier];
                   return other.done == other.tasks.size();
               }))
        {
            continue;
        }
        step.ready = true;
        item.waiting += step.waiting;
    }
}

void add_occurrence(submission_state& item, time_ms now)
{
    auto& occurrence = item.occurrences.emplace_back();
    for (auto const& spec : item.work.steps)
    {
        auto& step = occurrence.steps.emplace_back();
        step.tasks.resize(spec.count);
        for (auto& task : step.tasks)
        {
            task.waiting_since = now;
        }
        step.waiting = spec.count;
    }
    open_ready_steps(item, occurrence);
}

std::uint32_t occurrences_due(shard_context const& c, submission const& work)
{
    if (work.repeat_count == 0)
    {
        return 1;
    }
    auto const wall = c.wall();
    if (wall < work.first_due)
    {
        return 0;
    }
    auto const interval = std::max<std::int64_t>(1, work.interval.count());
    auto const due = (wall - work.first_due).count() / interval + 1;
    return static_cast<std::uint32_t>(
        std::min<std::int64_t>(due, work.repeat_count));
}

std::uint32_t occurrences_in_all(submission const& work)
{
    return std::max(1U, work.repeat_count);
}

void add_due_occurrences(shard_context& c, submission_state& item)
{
    auto const due = occurrences_due(c, item.work);
    while (item.occurrences.size() < due)
    {
        add_occurrence(item, c.now);
        c.shard.dispatch_due = true;
    }
}

void stop_runs(shard_context& c, submission_state const& item)
{
    for_each_task(item, [&](task_id const& id, task_state const& task) {
        auto const worker = task.place
                                ? c.shard.workers.find(task.place->worker)
                                : c.shard.workers.end();
        if (worker != c.shard.workers.end())
        {
            workers::stop(c, worker->second, {id, task.place->run});
        }
    });
}

void end(shard_context& c, submission_state& item, submission_phase phase)
{
    item.phase = phase;
    item.ended_at = c.wall();
    item.waiting = 0;
    c.shard.active.erase(item.id);
    record_log::changed_urgently(c, item);
}

step_state& step_of(submission_state& item, task_id const& id)
{
    return item.occurrences[id.occurrence].steps[id.step];
}

void restore_task(shard_context& c, submission_state& item, task_id const& id,
                  task_progress const& stored)
{
    auto* const task = find_task(item, id);
    if (!task)
    {
        return;
    }
    task->failed_runs = stored.failed_runs;
    task->ended_run = stored.ended_run;
    task->last_run = stored.run;
    task->checkpoint = stored.checkpoint;
    item.started = item.started || stored.run > 0;
    if (stored.done)
    {
        finish_task(c, item, id);
    }
    else if (!stored.worker.empty())
    {
        task->place = placement{stored.worker, stored.run};
        placed(item, id);
    }
}

} // namespace

void configuration_changed(shard_context& c)
{
    // A configuration may hold thousands of queues.
    std::unordered_map<std::string_view, queue const*> queues;
    for (auto const& each : c.s.config->queues)
    {
        queues.emplace(each.name, &each);
    }
    for (auto const& id : c.shard.active)
    {
        auto& item = *find(c, id);
        auto const found = queues.find(item.queue);
        if (found != queues.end())
        {
            apply(item, *found->second);
        }
    }
}

submission_state* find(shard_context& c, std::string_view id)
{
    auto const found = c.shard.submissions.find(std::string(id));
    return found == c.shard.submissions.end() ? nullptr : &found->second;
}

task_state* find_task(submission_state& item, task_id const& id)
{
    if (id.occurrence >= item.occurrences.size())
    {
        return nullptr;
    }
    auto& steps = item.occurrences[id.occurrence].steps;
    if (id.step >= steps.size() || id.index >= steps[id.step].tasks.size())
    {
        return nullptr;
    }
    return &steps[id.step].tasks[id.index];
}

submission_state& add(shard_context& c, submission_record const& record)
{
    auto& item = c.shard.submissions[record.id];
    item.id = record.id;
    item.queue = record.queue;
    item.work = record.work;
    item.accepted_at = record.accepted_at;
    auto const* const settings = queue_of(c, item.queue);
    item.max_attempts = default_attempts;
    auto factor = 1.0;
    if (settings)
    {
        apply(item, *settings);
        factor = settings->slack_factor;
        item.time_allowed = settings->latency_objective;
    }
    auto const chain = static_cast<double>(longest_chain(record.work).count());
    item.time_allowed += time_ms(static_cast<std::int64_t>(chain * factor));
    auto const age = std::max(time_ms(0), c.wall() - record.accepted_at);
    item.objective = c.now - age + item.time_allowed;
    c.shard.active.insert(record.id);
    add_due_occurrences(c, item);
    c.shard.dispatch_due = true;
    return item;
}

void restore(shard_context& c, progress_record const& record)
{
    auto* const item = find(c, record.id);
    if (!item)
    {
        return;
    }
    item->phase = record.phase;
    item->stored_phase = record.phase;
    item->ended_at = record.ended_at;
    item->stored_version = item->version;
    while (item->occurrences.size() < record.occurrences.size())
    {
        add_occurrence(*item, c.now);
    }
    if (ended(record.phase))
    {
        item->waiting = 0;
        c.shard.active.erase(item->id);
    }
    for (std::uint32_t k = 0; k < record.occurrences.size(); ++k)
    {
        for (std::uint32_t s = 0; s < record.occurrences[k].size(); ++s)
        {
            auto const& tasks = record.occurrences[k][s];
            for (std::uint32_t i = 0; i < tasks.size(); ++i)
            {
                restore_task(c, *item, {record.id, k, s, i}, tasks[i]);
            }
        }
    }
}

void requeue(shard_context& c, submission_state& item, task_id const& id)
{
    auto& step = step_of(item, id);
    auto& task = step.tasks[id.index];
    if (!task.place)
    {
        return;
    }
    // What the store knew of the place may be older than what an earlier owner
    // ordered last.
    task.maybe_running =
        task.place->run <= run_number_base(c.shard.owner.record)
        && recovery::unaccounted(c);
    task.place.reset();
    task.waiting_since = c.now;
    if (task.done)
    {
        return;
    }
    ++step.waiting;
    if (step.ready && !ended(item.phase))
    {
        ++item.waiting;
    }
    if (item.work.steps[id.step].long_running)
    {
        task.not_before = std::max(task.not_before, c.now + restart_pause);
    }
    c.shard.dispatch_due = true;
}

void placed(submission_state& item, task_id const& id)
{
    auto& step = step_of(item, id);
    --step.waiting;
    if (step.ready && !ended(item.phase))
    {
        --item.waiting;
    }
    item.started = true;
    if (item.phase == submission_phase::queued)
    {
        item.phase = submission_phase::running;
    }
}

void finish_task(shard_context& c, submission_state& item, task_id const& id)
{
    auto& occurrence = item.occurrences[id.occurrence];
    auto& step = occurrence.steps[id.step];
    auto& task = step.tasks[id.index];
    if (task.done)
    {
        return;
    }
    task.done = true;
    if (task.place)
    {
        task.place.reset();
    }
    else
    {
        --step.waiting;
        if (step.ready && !ended(item.phase))
        {
            --item.waiting;
        }
    }
    if (++step.done < step.tasks.size())
    {
        return;
    }
    ++occurrence.steps_done;
    if (!ended(item.phase))
    {
        open_ready_steps(item, occurrence);
        c.shard.dispatch_due = true;
    }
    auto const complete =
        item.occurrences.size() == occurrences_in_all(item.work)
        && std::all_of(item.occurrences.begin(), item.occurrences.end(),
                       [](occurrence_state const& each) {
                           return each.steps_done == each.steps.size();
                       });
    if (complete && !ended(item.phase))
    {
        end(c, item, submission_phase::completed);
        c.log(log_level::info, "submission", item.id + " completed");
        c.observe("submission_ms", c.wall() - item.accepted_at);
    }
}

void cancel(shard_context& c, submission_state& item)
{
    end(c, item, submission_phase::cancelled);
    stop_runs(c, item);
    c.log(log_level::info, "submission", item.id + " cancelled by its caller");
}

void fail(shard_context& c, submission_state& item)
{
    end(c, item, submission_phase::failed);
    stop_runs(c, item);
    c.log(log_level::info, "submission",
          item.id + " failed, a task used up its attempts");
}

void tick(shard_context& c)
{
    if (c.shard.owner.role != owner_role::owner)
    {
        return;
    }
    for (auto const& id : c.shard.active)
    {
        auto& item = *find(c, id);
        if (item.work.repeat_count > 0)
        {
            add_due_occurrences(c, item);
        }
    }
    if (!c.shard.log.expired.empty() || c.now < c.shard.next_expiry)
    {
        return;
    }
    c.shard.next_expiry = c.now + expiry_interval;
    for (auto& [id, item] : c.shard.submissions)
    {
        if (ended(item.stored_phase) && !item.in_log
            && item.stored_version == item.version
            && c.wall() - item.ended_at >= c.s.options.retention)
        {
            c.shard.log.expired.push_back(id);
        }
    }
}

} // namespace jaydrift::schedule::submissions
