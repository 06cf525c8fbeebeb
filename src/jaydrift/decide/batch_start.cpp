#include "batch_detail.hpp"

#include <jaydrift/decide/batch.hpp>
#include <jaydrift/decide/ownership.hpp>
#include <jaydrift/decide/workers.hpp>

namespace jaydrift::decide::batch {

namespace {

std::string_view address_of(daemon_state const& state, std::string_view worker)
{
    auto const* const vm = workers::find(state, worker);
    return vm == nullptr ? std::string_view() : std::string_view(vm->address);
}

void ask(shard_step const& at, batch_job& job, std::uint32_t index,
         std::optional<task_action> action, worker_request request)
{
    auto const& task = job.tasks[index];
    auto const correlation = at.step.ask_worker(
        part::batch, task.worker, address_of(at.step.state, task.worker),
        std::move(request), at.step.state.settings.worker_timeout);
    at.step.state.batch.calls[correlation] = {
        {at.shard, job.spec.id, index}, task.worker, task.attempt, action};
}

void refuse_start(shard_step const& at, task_call const& call, batch_job& job,
                  worker_reply const& reply)
{
    unplace(at, job, call.task.index);
    enqueue(at, job, call.task.index);
    if (reply.outcome == worker_outcome::stale_epoch)
    {
        ownership::on_stale_epoch(at.step, call.task.shard, reply.epoch);
    }
}

void on_start_reply(shard_step const& at, task_call const& call,
                    found_task found, worker_reply const& reply)
{
    switch (reply.outcome)
    {
    case worker_outcome::ok:
    case worker_outcome::already_started:
        found.task->phase = task_phase::running;
        return;
    case worker_outcome::failed:
        return fail(at, *found.job, call.task.index, call.worker, reply.reason);
    default:
        return refuse_start(at, call, *found.job, reply);
    }
}

/// The worker does not run the task.
void on_unknown_task(shard_step const& at, task_call const& call,
                     found_task found, worker_reply const& reply)
{
    auto& task = *found.task;
    // Until the start's deadline has passed, a delayed start may still arrive.
    bool const cannot_start = reply.worker_clock > task.start_before;
    if (found.job->cancelled && cannot_start)
    {
        unplace(at, *found.job, call.task.index);
        task.phase = task_phase::done;
        return tidy(at, *found.job);
    }
    doubt(at, *found.job, call.task.index, at.step.now + time_ms(1000));
    if (cannot_start && !task.absent)
    {
        task.absent = true;
        task.absences = 0;
    }
}

void on_control_done(shard_step const& at, task_call const& call,
                     found_task found)
{
    auto& task = *found.task;
    switch (*call.action)
    {
    case task_action::cancel:
        unplace(at, *found.job, call.task.index);
        task.phase = task_phase::done;
        remember_end(at.step, at.shard, call.worker,
                     task_id(call.task.job, call.task.index), true);
        return tidy(at, *found.job);
    case task_action::throttle:
        task.throttled = true;
        break;
    case task_action::unthrottle:
        task.throttled = false;
        break;
    case task_action::checkpoint:
        task.saved_at = at.step.now;
        break;
    default:
        break;
    }
    if (task.phase == task_phase::uncertain)
    {
        task.phase = task_phase::running;
        task.absent = false;
        at.work.uncertain.erase(call.task);
    }
}

void on_control_reply(shard_step const& at, task_call const& call,
                      found_task found, worker_reply const& reply)
{
    found.task->asking = false;
    switch (reply.outcome)
    {
    case worker_outcome::ok:
        return on_control_done(at, call, found);
    case worker_outcome::unknown_task:
        return on_unknown_task(at, call, found, reply);
    case worker_outcome::stale_epoch:
        return ownership::on_stale_epoch(at.step, call.task.shard, reply.epoch);
    default:
        found.task->evicting = false;
    }
}

/// Returns the task of a call if its attempt is still placed there.
found_task current_task(context& step, task_call const& call)
{
    auto const found = find_task(step, call.task);
    if (!found || !found.job->placed.contains(call.task.index)
        || found.task->worker != call.worker
        || found.task->attempt != call.attempt)
    {
        return {};
    }
    return found;
}

} // namespace

void start(shard_step const& at, batch_job& job, std::uint32_t index,
           std::string_view worker)
{
    place(at, job, index, worker);
    auto& task = job.tasks[index];
    task.phase = task_phase::starting;
    ++task.attempt;
    task.start_before = ownership::start_deadline(at.step.state, worker);
    start_request request;
    request.term = ownership::term(at.step.state, at.shard);
    request.task = spec_of(job, index);
    request.attempt = task.attempt;
    request.start_before = task.start_before;
    at.step.record("task_start_sent", {}, request.task.id, worker);
    ask(at, job, index, std::nullopt, std::move(request));
}

void send_control(shard_step const& at, batch_job& job, std::uint32_t index,
                  task_action action)
{
    auto& task = job.tasks[index];
    task.asking = true;
    task.evicting = task.evicting || action == task_action::evict;
    ask(at, job, index, action,
        control_request{ownership::term(at.step.state, at.shard),
                        task_id(job.spec.id, index), task.attempt, action});
}

void on_worker_replied(context& step, worker_replied const& event)
{
    auto const entry = step.state.batch.calls.extract(event.correlation);
    if (entry.empty())
    {
        return;
    }
    auto const& call = entry.mapped();
    auto* const work = find_shard(step, call.task.shard);
    if (work == nullptr)
    {
        return;
    }
    shard_step const at{step, call.task.shard, *work};
    if (auto const found = current_task(step, call))
    {
        call.action ? on_control_reply(at, call, found, event.reply)
                    : on_start_reply(at, call, found, event.reply);
    }
    if (call.action && find_shard(step, call.task.shard) != nullptr)
    {
        for (auto const& report : event.reply.tasks)
        {
            take_report(at, event.worker, report);
        }
    }
}

void on_worker_failed(context& step, worker_failed const& event)
{
    auto const entry = step.state.batch.calls.extract(event.correlation);
    auto const found =
        entry.empty() ? found_task() : current_task(step, entry.mapped());
    if (!found)
    {
        return;
    }
    auto const& call = entry.mapped();
    shard_step const at{step, call.task.shard,
                        *find_shard(step, call.task.shard)};
    found.task->asking = false;
    if (call.action)
    {
        found.task->evicting = false;
        return;
    }
    if (event.never_sent)
    {
        unplace(at, *found.job, call.task.index);
        return enqueue(at, *found.job, call.task.index);
    }
    doubt(at, *found.job, call.task.index, step.now + time_ms(500));
}

} // namespace jaydrift::decide::batch
