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

void update_max_used(worker_state& state)
{
    auto& max_used = state.max_used;
    max_used.millicores = std::max(max_used.millicores, state.used.millicores);
    max_used.memory_mb = std::max(max_used.memory_mb, state.used.memory_mb);
    max_used.accelerators =
        std::max(max_used.accelerators, state.used.accelerators);
}

/// Releases the resources of a running task and adds the change to the run log.
void stop(worker_context& ctx, task_run& run, run_change change)
{
    auto& state = ctx.state;
    state.running.erase(run.task.id);
    state.used -= run.task.demand;
    state.log.push_back({ctx.now, run.task.id, run.attempt, change});
}

/// Answers the call that waits for the run, if there is one.
void answer_waiting_call(worker_context& ctx, task_run& run,
                         worker_outcome outcome, std::string_view reason)
{
    if (!run.waiting_call)
    {
        return;
    }
    auto reply = ctx.reply(run.shard, outcome, std::string(reason));
    if (run.state != task_state::running)
    {
        reply.tasks.push_back(report(run));
        reply.tasks.back().answer.clear();
    }
    reply.answer = run.answer;
    ctx.answer(*run.waiting_call, std::move(reply));
    run.waiting_call.reset();
}

/// Removes a run that the executor refused, so that the request may be started
/// again.
void withdraw(worker_context& ctx, task_run& run, std::string_view reason)
{
    stop(ctx, run, run_change::withdrawn);
    ctx.record("task_withdrawn", run.task.id, reason);
    answer_waiting_call(ctx, run, worker_outcome::over_limit, reason);
    ctx.state.runs.erase(run.task.id);
}

/// Drops the oldest answer. The worker still remembers the ID of its request,
/// but reports it as failed, because the result can no longer be read.
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
    while (state.answer_bytes > state.settings.max_answer_bytes)
    {
        drop_oldest_answer(state);
    }
}

/// Removes an ended task. Urgent requests are forgotten in the order of their
/// answers, so only the oldest kept answer can be that of `task`.
void forget(worker_state& state, std::string const& task)
{
    if (!state.answered.empty() && state.answered.front() == task)
    {
        drop_oldest_answer(state);
    }
    state.runs.erase(task);
}

/// A task that is not urgent is kept until its end is acknowledged. The end of
/// an urgent request is never acknowledged: it is reported to its caller and in
/// inventories only.
bool may_forget(task_run const& run)
{
    return run.state != task_state::running
           && (run.acknowledged || run.task.priority == task_class::urgent);
}

} // namespace

task_run& start(worker_context& ctx, start_request const& request)
{
    auto& state = ctx.state;
    auto& run = state.runs[request.task.id];
    run = {};
    run.task = request.task;
    run.attempt = request.attempt;
    run.shard = request.term.shard;
    run.checkpoint_ms = request.task.checkpoint_ms;
    run.done_us = request.task.checkpoint_ms * 1000;
    state.running.insert(request.task.id);
    state.used += request.task.demand;
    update_max_used(state);
    state.log.push_back(
        {ctx.now, request.task.id, request.attempt, run_change::started});
    ctx.record("task_started", request.task.id,
               std::to_string(request.attempt));
    return run;
}

void end(worker_context& ctx, task_run& run, task_state state,
         std::string_view reason)
{
    bool const finished = state == task_state::finished;
    if (run.task.priority == task_class::urgent && !finished)
    {
        ctx.emit(cancel_on_executor{run.task.id, run.attempt});
    }
    stop(ctx, run, run_change::ended);
    run.state = state;
    run.ended_at = ctx.now;
    ctx.state.ended.push_back({ctx.now, run.task.id});
    ctx.record("task_ended", run.task.id, name_of(state));
    answer_waiting_call(ctx, run,
                        finished ? worker_outcome::ok : worker_outcome::failed,
                        reason);
}

void on_executor_answered(worker_context& ctx, executor_answered const& event)
{
    auto const found = ctx.state.runs.find(event.task);
    if (found == ctx.state.runs.end() || found->second.attempt != event.attempt
        || found->second.state != task_state::running)
    {
        ctx.record("late_executor_answer", event.task);
        return;
    }
    auto& run = found->second;
    switch (event.result)
    {
    case executor_result::finished:
        run.answer = event.answer;
        end(ctx, run, task_state::finished);
        return keep_answer(ctx.state, run);
    case executor_result::failed:
        return end(ctx, run, task_state::failed, event.answer);
    case executor_result::not_run:
        return withdraw(ctx, run, event.answer);
    }
}

void forget_old(worker_context& ctx)
{
    auto& state = ctx.state;
    while (!state.ended.empty()
           && state.ended.front().ended_at + state.settings.retention
                  <= ctx.now)
    {
        auto const oldest = state.ended.front();
        state.ended.pop_front();
        auto const found = state.runs.find(oldest.task);
        if (found != state.runs.end()
            && found->second.ended_at == oldest.ended_at
            && may_forget(found->second))
        {
            forget(state, oldest.task);
        }
    }
}

void acknowledge(worker_context& ctx, shard_id const& shard,
                 std::string_view task)
{
    auto& state = ctx.state;
    auto const found = state.runs.find(task);
    if (found == state.runs.end() || found->second.shard != shard
        || found->second.state == task_state::running)
    {
        return;
    }
    auto& run = found->second;
    run.acknowledged = true;
    if (run.ended_at + state.settings.retention <= ctx.now)
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
