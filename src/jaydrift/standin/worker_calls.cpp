#include <jaydrift/standin/worker_calls.hpp>

#include <jaydrift/standin/worker_progress.hpp>
#include <jaydrift/standin/worker_tasks.hpp>

#include <algorithm>
#include <optional>
#include <string>

namespace jaydrift::standin::worker_calls {

namespace {

/// Outcome and reason of a refused call.
struct refusal
{
    worker_outcome outcome;
    std::string reason;
};

/// Returns the term of a shard, or null if no owner has fenced the worker.
shard_term* find_term(worker_context& ctx, shard_id const& shard)
{
    auto const found = ctx.state.shards.find(shard);
    return found == ctx.state.shards.end() ? nullptr : &found->second;
}

/// Refuses a term other than the one with which the worker was last fenced.
std::optional<refusal> check_current_term(worker_context& ctx,
                                          ownership_term const& term)
{
    auto const* current = find_term(ctx, term.shard);
    if (current == nullptr || term.epoch > current->epoch)
    {
        return refusal{worker_outcome::stale_epoch,
                       "the epoch has not fenced this worker"};
    }
    if (term.epoch < current->epoch || term.owner != current->owner)
    {
        return refusal{worker_outcome::stale_epoch,
                       "a later epoch or another owner holds the shard"};
    }
    return std::nullopt;
}

/// Refuses to fence the worker with a term that is older than the current one.
std::optional<refusal> check_fence(worker_context& ctx,
                                   ownership_term const& term)
{
    auto const* current = find_term(ctx, term.shard);
    if (current == nullptr)
    {
        return std::nullopt;
    }
    if (term.epoch < current->epoch
        || (term.epoch == current->epoch && term.owner != current->owner))
    {
        return refusal{worker_outcome::stale_epoch,
                       "a later epoch or another owner holds the shard"};
    }
    if (term.generation < current->generation)
    {
        return refusal{worker_outcome::stale_generation,
                       "the voter set has a later generation"};
    }
    return std::nullopt;
}

/// Limit of the declared work of a task, so that products with it stay within
/// 64 bits.
constexpr std::int64_t max_run_time_ms = 1'000'000'000'000;

bool is_valid(start_request const& request)
{
    auto const& task = request.task;
    return !task.id.empty() && fits(resources{}, task.demand)
           && task.checkpoint_ms >= 0 && task.checkpoint_ms <= max_run_time_ms
           && task.run_time_ms >= 0 && task.run_time_ms <= max_run_time_ms;
}

/// Checks the rules for starting a task that is unknown or may run again.
/// Expects that `check_current_term` has accepted the request's term.
std::optional<refusal> check_start(worker_context& ctx,
                                   start_request const& request)
{
    auto const& state = ctx.state;
    auto const& task = request.task;
    if (request.start_before <= ctx.now)
    {
        return refusal{worker_outcome::past_deadline,
                       "the start's deadline has passed"};
    }
    if (!find_term(ctx, request.term.shard)->lease_active)
    {
        return refusal{worker_outcome::lease_lapsed,
                       "the shard has no lease here"};
    }
    if (state.leaving)
    {
        return refusal{worker_outcome::leaving, "the VM is leaving"};
    }
    if (!is_valid(request)
        || !fits(task.demand, state.settings.capacity - state.used))
    {
        return refusal{worker_outcome::over_limit,
                       "the task does not fit on this worker now"};
    }
    if (task.priority == task_class::urgent
        && worker_tasks::used_slots(state, task.kind)
               >= state.settings.slots_per_kind)
    {
        return refusal{worker_outcome::over_limit,
                       "the executor has no free slot"};
    }
    return std::nullopt;
}

/// A task that is not urgent and ended without finishing may run again as a
/// later attempt.
bool may_run_again(task_run const& run, start_request const& request)
{
    return run.task.priority != task_class::urgent
           && run.state != task_state::running
           && run.state != task_state::finished
           && request.attempt > run.attempt;
}

void refuse(worker_context& ctx, std::uint64_t number, shard_id const& shard,
            refusal const& refused)
{
    ctx.answer(number, ctx.reply(shard, refused.outcome, refused.reason));
}

void answer_already_started(worker_context& ctx, std::uint64_t number,
                            shard_id const& shard, task_run const& run)
{
    auto reply = ctx.reply(shard, worker_outcome::already_started,
                           "the task was started here before");
    reply.tasks.push_back(worker_tasks::report(run));
    reply.answer = run.answer;
    ctx.answer(number, std::move(reply));
}

void run_task(worker_context& ctx, std::uint64_t number,
              start_request const& request)
{
    auto& run = worker_tasks::start(ctx, request);
    bool const urgent = request.task.priority == task_class::urgent;
    if (ctx.state.fail_starts)
    {
        run.waiting_call = number;
        worker_tasks::end(ctx, run, task_state::failed, "every start fails");
        return;
    }
    if (urgent)
    {
        run.waiting_call = number;
        ctx.emit(run_on_executor{request.task.id, request.attempt,
                                 request.task.kind, request.payload});
        return;
    }
    ctx.answer(number, ctx.reply(request.term.shard, worker_outcome::ok));
}

void apply_action(worker_context& ctx, task_run& run, task_action action)
{
    switch (action)
    {
    case task_action::throttle:
        run.throttled = true;
        return;
    case task_action::unthrottle:
        run.throttled = false;
        return;
    case task_action::checkpoint:
        run.checkpoint_ms = run.done_us / 1000;
        return;
    case task_action::evict:
        run.checkpoint_ms = run.done_us / 1000;
        return worker_tasks::end(ctx, run, task_state::evicted,
                                 "the task was evicted");
    case task_action::cancel:
        return worker_tasks::end(ctx, run, task_state::failed,
                                 "the task was cancelled");
    }
}

} // namespace

void on_call(worker_context& ctx, std::uint64_t number,
             fence_request const& request)
{
    auto const& term = request.term;
    if (auto const refused = check_fence(ctx, term))
    {
        return refuse(ctx, number, term.shard, *refused);
    }
    auto& current = ctx.state.shards[term.shard];
    current.epoch = term.epoch;
    current.owner = term.owner;
    current.generation = term.generation;
    ctx.record("fenced", {},
               to_string(term.shard) + " epoch " + std::to_string(term.epoch));
    auto reply = ctx.reply(term.shard, worker_outcome::ok);
    for (auto const& [id, run] : ctx.state.runs)
    {
        if (run.shard == term.shard)
        {
            reply.tasks.push_back(worker_tasks::report(run));
        }
    }
    ctx.answer(number, std::move(reply));
}

void on_call(worker_context& ctx, std::uint64_t number,
             renew_request const& request)
{
    auto const& shard = request.term.shard;
    if (auto const refused = check_current_term(ctx, request.term))
    {
        return refuse(ctx, number, shard, *refused);
    }
    auto& current = *find_term(ctx, shard);
    current.generation = std::max(current.generation, request.term.generation);
    current.lease_until = std::max(current.lease_until, request.lease_until);
    current.lease_active = current.lease_until > ctx.now;
    ctx.state.policy_version =
        std::max(ctx.state.policy_version, request.policy_version);
    for (auto const& task : request.acknowledged)
    {
        worker_tasks::acknowledge(ctx, shard, task);
    }
    auto reply = ctx.reply(shard, worker_outcome::ok);
    for (auto const& [id, run] : ctx.state.runs)
    {
        if (run.shard == shard && run.state != task_state::running
            && run.task.priority != task_class::urgent && !run.acknowledged)
        {
            reply.tasks.push_back(worker_tasks::report(run));
        }
    }
    reply.usage = worker_progress::reported_usage(ctx);
    ctx.answer(number, std::move(reply));
}

void on_call(worker_context& ctx, std::uint64_t number,
             start_request const& request)
{
    auto const& shard = request.term.shard;
    if (auto const refused = check_current_term(ctx, request.term))
    {
        return refuse(ctx, number, shard, *refused);
    }
    // A repeated start is detected before the other rules are checked, because
    // their refusal would say that the task was not run.
    auto const found = ctx.state.runs.find(request.task.id);
    if (found != ctx.state.runs.end() && !may_run_again(found->second, request))
    {
        return answer_already_started(ctx, number, shard, found->second);
    }
    if (auto const refused = check_start(ctx, request))
    {
        return refuse(ctx, number, shard, *refused);
    }
    run_task(ctx, number, request);
}

void on_call(worker_context& ctx, std::uint64_t number,
             task_action_request const& request)
{
    auto const& shard = request.term.shard;
    if (auto const refused = check_current_term(ctx, request.term))
    {
        return refuse(ctx, number, shard, *refused);
    }
    auto const found = ctx.state.runs.find(request.task);
    if (found == ctx.state.runs.end() || found->second.shard != shard
        || found->second.attempt != request.attempt
        || found->second.state != task_state::running)
    {
        return refuse(ctx, number, shard,
                      {worker_outcome::unknown_task,
                       "no such attempt of the task runs here"});
    }
    apply_action(ctx, found->second, request.action);
    auto reply = ctx.reply(shard, worker_outcome::ok);
    reply.tasks.push_back(worker_tasks::report(found->second));
    ctx.answer(number, std::move(reply));
}

} // namespace jaydrift::standin::worker_calls
