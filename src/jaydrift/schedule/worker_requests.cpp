#include <jaydrift/schedule/worker_requests.hpp>

#include <jaydrift/schedule/event.hpp>
#include <jaydrift/schedule/relocation.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/step_spec.hpp>
#include <jaydrift/schedule/submissions.hpp>
#include <jaydrift/schedule/waiting_tasks.hpp>
#include <jaydrift/schedule/worker_request.hpp>
#include <jaydrift/schedule/worker_transfers.hpp>
#include <jaydrift/schedule/workers.hpp>

#include <algorithm>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jaydrift::schedule::worker_requests {

namespace {

using shortage_kind = worker_request::shortage_kind;

constexpr time_ms search_interval{300};

/// Tasks wait this long before another shard is asked. Until then the shard's
/// own workers may become free.
constexpr time_ms wait_before_request{1000};

/// Each round of requests goes to twice as many shards as the one before.
constexpr std::uint32_t max_doublings = 6;

/// Returns whether the worker stays in the shard and may be given tasks, now or
/// later.
bool may_serve(shard_context const& ctx, worker_state const& worker)
{
    return worker.listed && !worker.entry.draining && !worker.leaving
           && !ctx.state.closed_zones.contains(worker.entry.zone);
}

/// Returns whether a worker of the shard could run tasks of the step if it had
/// nothing else to do.
bool has_suitable_worker(shard_context const& ctx, std::string_view service,
                         step_spec const& spec)
{
    auto const& workers = ctx.shard.workers;
    return std::any_of(workers.begin(), workers.end(), [&](auto const& each) {
        return may_serve(ctx, each.second)
               && workers::matches_step(each.second.entry, service, spec)
               && fits(spec.demand, each.second.entry.capacity);
    });
}

/// Returns what the waiting tasks of a step lack, if another worker would help.
std::optional<shortage_kind> shortage_of(shard_context const& ctx,
                                         submission_state const& submission,
                                         step_state const& step,
                                         step_spec const& spec)
{
    if (!has_suitable_worker(ctx, submission.terms.service, spec))
    {
        return shortage_kind::suitable_worker;
    }
    if (spec.long_running && is_refusal(step.reason))
    {
        return shortage_kind::long_running_room;
    }
    auto const no_room =
        is_refusal(step.reason) || step.reason == wait_reason::skipped;
    if (is_urgent(spec) && no_room && submission.placed_tasks == 0)
    {
        return shortage_kind::room;
    }
    return std::nullopt;
}

/// What the shard lacks, and for how many processors of long-running tasks.
struct shortage
{
    worker_request request;
    std::int64_t millicores = 0;
};

/// Adds a waiting step to the shortages, of which there is one of each kind.
/// The step that has waited longest decides what is asked for.
void add(std::vector<shortage>& all, worker_request request,
         std::int64_t millicores)
{
    auto const known =
        std::find_if(all.begin(), all.end(), [&request](auto const& each) {
            return each.request.kind == request.kind;
        });
    if (known == all.end())
    {
        all.push_back({std::move(request), millicores});
        return;
    }
    known->millicores += millicores;
    if (request.waited > known->request.waited)
    {
        known->request = std::move(request);
    }
}

void add_step(shard_context const& ctx, submission_state const& submission,
              step_state const& step, step_spec const& spec,
              std::vector<shortage>& all)
{
    auto const waited = ctx.now - waiting_tasks::waiting_since(step, ctx.now);
    if (!step.ready || step.waiting_tasks == 0 || waited < wait_before_request
        || submission.terms.service.empty())
    {
        return;
    }
    auto const kind = shortage_of(ctx, submission, step, spec);
    if (!kind)
    {
        return;
    }
    worker_request request;
    request.node = ctx.state.options.node;
    request.revision = ctx.shard.ownership.revision;
    request.asking_shard = ctx.shard.number;
    request.kind = *kind;
    request.service = submission.terms.service;
    request.required_label = spec.required_label;
    request.demand = spec.demand;
    request.waited = waited;
    add(all, std::move(request), step.waiting_tasks * spec.demand.millicores);
}

std::vector<shortage> find_shortages(shard_context& ctx)
{
    std::vector<shortage> result;
    for (auto const& id : ctx.shard.active)
    {
        auto const& submission = *submissions::find(ctx, id);
        if (submission.waiting_tasks == 0)
        {
            continue;
        }
        for (auto const& occurrence : submission.occurrences)
        {
            for (std::size_t i = 0; i < occurrence.steps.size(); ++i)
            {
                add_step(ctx, submission, occurrence.steps[i],
                         submission.work.steps[i], result);
            }
        }
    }
    return result;
}

/// Returns how many shards to ask: more in each round and, for long-running
/// tasks, at once one for each worker that they would fill.
std::size_t targets_of(shard_context const& ctx, shortage const& lack)
{
    auto const doublings = std::min(ctx.shard.request_rounds, max_doublings);
    auto const by_round = std::size_t{1} << doublings;
    auto const workers = static_cast<std::int64_t>(
        std::max<std::size_t>(1, ctx.shard.workers.size()));
    auto const mean_capacity =
        std::max<std::int64_t>(1, lack.request.usable_millicores / workers);
    auto const missing =
        lack.request.kind == shortage_kind::long_running_room
            ? static_cast<std::size_t>(lack.millicores / mean_capacity)
            : 0;
    return std::max(by_round, missing);
}

/// Sends the request to the owners of other shards.
void send(shard_context& ctx, shortage const& lack)
{
    auto const targets = targets_of(ctx, lack);
    std::size_t asked = 0;
    for (auto* const target : other_shards(ctx))
    {
        if (asked == targets)
        {
            break;
        }
        ++asked;
        auto request = lack.request;
        request.shard = target->number;
        if (target->ownership.role == owner_role::owner)
        {
            shard_context target_ctx(ctx, *target);
            worker_transfers::received(target_ctx, request);
        }
        else
        {
            ctx.emit(send_message{target->ownership.record.address,
                                  std::move(request)});
        }
    }
    auto const& request = lack.request;
    ctx.count("worker_requests_total", "");
    // A line for each request of a long series would hide others.
    auto const rounds = ctx.shard.request_rounds;
    if (rounds > 0 && !std::has_single_bit(rounds))
    {
        return;
    }
    ctx.log_work(log_level::info, "placement",
                 "asking " + std::to_string(asked)
                     + " shards for a worker of service " + request.service
                     + (request.required_label.empty()
                            ? std::string()
                            : " with label " + request.required_label)
                     + " and " + std::to_string(request.demand.millicores)
                     + " millicores, tasks have waited for "
                     + std::to_string(request.waited.count()) + " ms");
}

} // namespace

bool supported_by_all(daemon_state const& state)
{
    return std::all_of(
        state.members.begin(), state.members.end(),
        [](auto const& each) { return each.second.assigns_workers; });
}

std::vector<shard_state*> other_shards(shard_context& ctx)
{
    std::vector<shard_state*> result;
    for (auto& each : ctx.state.shards)
    {
        if (each.number != ctx.shard.number && each.ownership.revision != 0)
        {
            result.push_back(&each);
        }
    }
    std::stable_sort(
        result.begin(), result.end(), [](auto const* left, auto const* right) {
            return left->load.long_running < right->load.long_running;
        });
    return result;
}

void tick(shard_context& ctx)
{
    if (ctx.shard.ownership.role != owner_role::owner
        || ctx.state.shards.size() < 2 || ctx.now < ctx.shard.next_request
        || ctx.state.stopping_since || !supported_by_all(ctx.state))
    {
        return;
    }
    ctx.shard.next_request = ctx.now + search_interval;
    auto all = find_shortages(ctx);
    if (all.empty())
    {
        ctx.shard.request_rounds = 0;
        return;
    }
    auto const long_running = relocation::long_running_millicores(ctx);
    auto const usable = relocation::usable_millicores(ctx);
    for (auto& each : all)
    {
        each.request.long_running_millicores = long_running;
        each.request.usable_millicores = usable;
        send(ctx, each);
    }
    ++ctx.shard.request_rounds;
}

} // namespace jaydrift::schedule::worker_requests
