#include <jaydrift/decide/batch_steps.hpp>

#include <jaydrift/decide/batch.hpp>
#include <jaydrift/decide/ownership.hpp>
#include <jaydrift/decide/workers.hpp>

#include <algorithm>

namespace jaydrift::decide::batch {

namespace {

constexpr time_ms unknown_task_probe_delay{1000};
constexpr time_ms lost_start_probe_delay{500};

std::string_view address_of(daemon_state const& state, std::string_view worker)
{
    auto const* const vm = workers::find(state, worker);
    return vm == nullptr ? std::string_view() : std::string_view(vm->address);
}

/// Sends a request about a task to the worker on which it is placed. `action`
/// is absent for a start.
void send_request(shard_scope const& scope, batch_job& job, std::uint32_t index,
                  std::optional<task_action> action, worker_request request)
{
    auto const& task = job.tasks[index];
    auto const correlation = scope.ctx.ask_worker(
        reducer_module::batch, task.worker,
        address_of(scope.ctx.state, task.worker), std::move(request),
        scope.ctx.state.settings.worker_timeout);
    scope.ctx.state.batch.calls[correlation] = {
        {scope.shard, job.spec.id, index}, task.worker, task.attempt, action};
}

void on_start_refused(shard_scope const& scope, task_call const& call,
                      batch_job& job, worker_reply const& reply)
{
    unplace(scope, job, call.task.index);
    enqueue(scope, job, call.task.index);
    if (reply.outcome == worker_outcome::stale_epoch)
    {
        ownership::on_epoch_seen(scope.ctx, call.task.shard, reply.epoch);
    }
}

/// Handles that the worker already ran the task. Its report says which attempt
/// that is and whether it has ended.
void on_already_started(shard_scope const& scope, task_call const& call,
                        found_task found, worker_reply const& reply)
{
    auto& task = *found.task;
    task.phase = task_phase::running;
    auto const id = task_id(call.task.job, call.task.index);
    auto const report =
        std::find_if(reply.tasks.begin(), reply.tasks.end(),
                     [&](auto const& entry) { return entry.task.id == id; });
    if (report == reply.tasks.end())
    {
        return;
    }
    if (report->state != task_state::running && report->attempt == call.attempt)
    {
        return apply_report(scope, call.worker, *report);
    }
    if (report->state == task_state::running)
    {
        task.attempt = report->attempt;
        return;
    }
    // The report is about the end of an earlier attempt. It was ignored when it
    // first arrived, because the start of this attempt, which the worker has
    // now refused, had been sent by then.
    unplace(scope, *found.job, call.task.index);
    if (report->state == task_state::finished)
    {
        return record_finish(scope, *found.job, call.task.index, call.worker,
                             report->attempt);
    }
    track_end(scope.ctx, scope.shard, call.worker, id, true);
    enqueue(scope, *found.job, call.task.index);
}

void on_start_reply(shard_scope const& scope, task_call const& call,
                    found_task found, worker_reply const& reply)
{
    switch (reply.outcome)
    {
    case worker_outcome::ok:
        found.task->phase = task_phase::running;
        return;
    case worker_outcome::already_started:
        return on_already_started(scope, call, found, reply);
    case worker_outcome::failed:
        return record_failure(scope, *found.job, call.task.index, call.worker,
                              reply.reason);
    default:
        return on_start_refused(scope, call, *found.job, reply);
    }
}

/// Handles that the worker does not run the task.
void on_unknown_task(shard_scope const& scope, task_call const& call,
                     found_task found, worker_reply const& reply)
{
    auto& task = *found.task;
    // Before the start's deadline, a start that was delayed on its way may
    // still take effect.
    bool const cannot_start = reply.worker_clock > task.start_before;
    if (found.job->cancelled && cannot_start)
    {
        unplace(scope, *found.job, call.task.index);
        task.phase = task_phase::done;
        return free_if_closed(scope, *found.job);
    }
    mark_uncertain(scope, *found.job, call.task.index,
                   scope.ctx.now + unknown_task_probe_delay);
    if (cannot_start && !task.reported_absent)
    {
        task.reported_absent = true;
        task.replies_without_task = 0;
    }
}

void on_control_done(shard_scope const& scope, task_call const& call,
                     found_task found)
{
    auto& task = *found.task;
    switch (*call.action)
    {
    case task_action::cancel:
        unplace(scope, *found.job, call.task.index);
        task.phase = task_phase::done;
        track_end(scope.ctx, scope.shard, call.worker,
                  task_id(call.task.job, call.task.index), true);
        return free_if_closed(scope, *found.job);
    case task_action::throttle:
        task.throttled = true;
        break;
    case task_action::unthrottle:
        task.throttled = false;
        break;
    case task_action::checkpoint:
        task.progress_saved_at = scope.ctx.now;
        break;
    default:
        break;
    }
    if (task.phase == task_phase::uncertain)
    {
        task.phase = task_phase::running;
        task.reported_absent = false;
        scope.work.uncertain.erase(call.task);
    }
}

void on_control_reply(shard_scope const& scope, task_call const& call,
                      found_task found, worker_reply const& reply)
{
    found.task->control_in_flight = false;
    switch (reply.outcome)
    {
    case worker_outcome::ok:
        return on_control_done(scope, call, found);
    case worker_outcome::unknown_task:
        return on_unknown_task(scope, call, found, reply);
    case worker_outcome::stale_epoch:
        return ownership::on_epoch_seen(scope.ctx, call.task.shard,
                                        reply.epoch);
    default:
        found.task->evicting = false;
    }
}

/// Returns the task of a call if the same attempt is still placed on the same
/// worker.
found_task current_task(context& ctx, task_call const& call)
{
    auto const found = find_task(ctx, call.task);
    if (!found || !found.job->placed.contains(call.task.index)
        || found.task->worker != call.worker
        || found.task->attempt != call.attempt)
    {
        return {};
    }
    return found;
}

} // namespace

void start(shard_scope const& scope, batch_job& job, std::uint32_t index,
           std::string_view worker)
{
    place(scope, job, index, worker);
    auto& task = job.tasks[index];
    task.phase = task_phase::starting;
    ++task.attempt;
    task.start_before = ownership::start_deadline(scope.ctx.state, worker);
    start_request request;
    request.term = ownership::term(scope.ctx.state, scope.shard);
    request.task = spec_of(job, index);
    request.attempt = task.attempt;
    request.start_before = task.start_before;
    scope.ctx.add_timeline_event("task_start_sent", {}, request.task.id,
                                 worker);
    send_request(scope, job, index, std::nullopt, std::move(request));
}

void send_control(shard_scope const& scope, batch_job& job, std::uint32_t index,
                  task_action action)
{
    auto& task = job.tasks[index];
    task.control_in_flight = true;
    task.evicting = task.evicting || action == task_action::evict;
    send_request(
        scope, job, index, action,
        task_action_request{ownership::term(scope.ctx.state, scope.shard),
                            task_id(job.spec.id, index), task.attempt, action});
}

void on_worker_replied(context& ctx, worker_replied const& event)
{
    auto const entry = ctx.state.batch.calls.extract(event.correlation);
    if (entry.empty())
    {
        return;
    }
    auto const& call = entry.mapped();
    auto* const work = find_shard(ctx, call.task.shard);
    if (work == nullptr)
    {
        return;
    }
    shard_scope const scope{ctx, call.task.shard, *work};
    if (auto const found = current_task(ctx, call))
    {
        call.action ? on_control_reply(scope, call, found, event.reply)
                    : on_start_reply(scope, call, found, event.reply);
    }
    if (call.action && find_shard(ctx, call.task.shard) != nullptr)
    {
        for (auto const& report : event.reply.tasks)
        {
            apply_report(scope, event.worker, report);
        }
    }
}

void on_worker_failed(context& ctx, worker_failed const& event)
{
    auto const entry = ctx.state.batch.calls.extract(event.correlation);
    auto const found =
        entry.empty() ? found_task() : current_task(ctx, entry.mapped());
    if (!found)
    {
        return;
    }
    auto const& call = entry.mapped();
    shard_scope const scope{ctx, call.task.shard,
                            *find_shard(ctx, call.task.shard)};
    found.task->control_in_flight = false;
    if (call.action)
    {
        found.task->evicting = false;
        return;
    }
    if (event.never_sent)
    {
        unplace(scope, *found.job, call.task.index);
        return enqueue(scope, *found.job, call.task.index);
    }
    mark_uncertain(scope, *found.job, call.task.index,
                   ctx.now + lost_start_probe_delay);
}

} // namespace jaydrift::decide::batch
