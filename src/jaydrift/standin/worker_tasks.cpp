#include <jaydrift/standin/worker_tasks.hpp>

#include <algorithm>

namespace jaydrift::standin::worker_tasks {

namespace {

std::string_view name_of(task_state state)
{
    switch (state)
    {
    case task_state::running:
        return "running";
    case task_state::finished:
        return "finished";
    case task_state::failed:
        return "failed";
    case task_state::evicted:
        return "evicted";
    case task_state::lease_lapsed:
        return "lease_lapsed";
    }
    return "unknown";
}

void raise_max_used(worker_state& state)
{
    auto& most = state.max_used;
    most.millicores = std::max(most.millicores, state.used.millicores);
    most.memory_mb = std::max(most.memory_mb, state.used.memory_mb);
    most.accelerators = std::max(most.accelerators, state.used.accelerators);
}

/// Releases what a running task holds.
void stop(worker_step& step, task_run& run, run_change change)
{
    auto& state = step.state;
    state.running.erase(run.task.id);
    state.used -= run.task.demand;
    state.log.push_back({step.now, run.task.id, run.attempt, change});
}

void answer_caller(worker_step& step, task_run& run, worker_outcome outcome,
                   std::string_view reason)
{
    if (!run.caller)
    {
        return;
    }
    auto reply = step.reply(run.shard, outcome, std::string(reason));
    if (run.state != task_state::running)
    {
        reply.tasks.push_back(report(run));
        reply.tasks.back().answer.clear();
    }
    reply.answer = run.answer;
    step.answer(*run.caller, std::move(reply));
    run.caller.reset();
}

/// Undoes a start that the executor refused.
void withdraw(worker_step& step, task_run& run, std::string_view reason)
{
    stop(step, run, run_change::withdrawn);
    step.record("task_withdrawn", run.task.id, reason);
    answer_caller(step, run, worker_outcome::over_limit, reason);
    step.state.runs.erase(run.task.id);
}

/// Drops the oldest answer. Its request keeps its ID, but ended without a
/// result that anyone can still get.
void drop_oldest_answer(worker_state& state)
{
    auto& run = state.runs.find(state.answered.front())->second;
    state.answer_bytes -= run.answer.size();
    run.answer.clear();
    run.state = task_state::failed;
    state.answered.pop_front();
}

void keep_answer(worker_state& state, task_run const& run)
{
    state.answered.push_back(run.task.id);
    state.answer_bytes += run.answer.size();
    while (state.answer_bytes > state.settings.answer_bytes)
    {
        drop_oldest_answer(state);
    }
}

/// Requests are forgotten in the order in which they were answered.
void forget(worker_state& state, std::string const& task)
{
    if (!state.answered.empty() && state.answered.front() == task)
    {
        drop_oldest_answer(state);
    }
    state.runs.erase(task);
}

/// An urgent request is reported to its caller and in inventories only.
bool may_forget(task_run const& run)
{
    return run.state != task_state::running
           && (run.acknowledged || run.task.priority == task_class::urgent);
}

} // namespace

task_run& start(worker_step& step, start_request const& request)
{
    auto& state = step.state;
    auto& run = state.runs[request.task.id];
    run = {};
    run.task = request.task;
    run.attempt = request.attempt;
    run.shard = request.term.shard;
    run.checkpoint_ms = request.task.checkpoint_ms;
    run.done_us = request.task.checkpoint_ms * 1000;
    state.running.insert(request.task.id);
    state.used += request.task.demand;
    raise_max_used(state);
    state.log.push_back(
        {step.now, request.task.id, request.attempt, run_change::started});
    step.record("task_started", request.task.id,
                std::to_string(request.attempt));
    return run;
}

void end(worker_step& step, task_run& run, task_state state,
         std::string_view reason)
{
    bool const finished = state == task_state::finished;
    if (run.task.priority == task_class::urgent && !finished)
    {
        step.emit(cancel_on_executor{run.task.id, run.attempt});
    }
    stop(step, run, run_change::ended);
    run.state = state;
    run.ended_at = step.now;
    step.state.ended.push_back({step.now, run.task.id});
    step.record("task_ended", run.task.id, name_of(state));
    answer_caller(step, run,
                  finished ? worker_outcome::ok : worker_outcome::failed,
                  reason);
}

void on_executor_answered(worker_step& step, executor_answered const& event)
{
    auto const found = step.state.runs.find(event.task);
    if (found == step.state.runs.end() || found->second.attempt != event.attempt
        || found->second.state != task_state::running)
    {
        step.record("late_executor_answer", event.task);
        return;
    }
    auto& run = found->second;
    switch (event.result)
    {
    case executor_result::finished:
        run.answer = event.answer;
        end(step, run, task_state::finished);
        return keep_answer(step.state, run);
    case executor_result::failed:
        return end(step, run, task_state::failed, event.answer);
    case executor_result::not_run:
        return withdraw(step, run, event.answer);
    }
}

void forget_old(worker_step& step)
{
    auto& state = step.state;
    while (!state.ended.empty()
           && state.ended.front().ended_at + state.settings.retention
                  <= step.now)
    {
        auto const old = state.ended.front();
        state.ended.pop_front();
        auto const found = state.runs.find(old.task);
        if (found != state.runs.end() && found->second.ended_at == old.ended_at
            && may_forget(found->second))
        {
            forget(state, old.task);
        }
    }
}

void acknowledge(worker_step& step, shard_id const& shard,
                 std::string_view task)
{
    auto& state = step.state;
    auto const found = state.runs.find(task);
    if (found == state.runs.end() || found->second.shard != shard
        || found->second.state == task_state::running)
    {
        return;
    }
    auto& run = found->second;
    run.acknowledged = true;
    if (run.ended_at + state.settings.retention <= step.now)
    {
        state.runs.erase(found);
    }
}

task_report report(task_run const& run)
{
    task_report result;
    result.task = run.task;
    result.attempt = run.attempt;
    result.state = run.state;
    result.shard = run.shard;
    result.checkpoint_ms = run.checkpoint_ms;
    result.answer = run.answer;
    return result;
}

std::size_t used_slots(worker_state const& state, std::string_view kind)
{
    return static_cast<std::size_t>(std::count_if(
        state.running.begin(), state.running.end(), [&](auto const& id) {
            auto const& task = state.runs.find(id)->second.task;
            return task.priority == task_class::urgent && task.kind == kind;
        }));
}

} // namespace jaydrift::standin::worker_tasks
