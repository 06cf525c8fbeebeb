#include <jaydrift/schedule/room_requests.hpp>

#include <jaydrift/schedule/event.hpp>
#include <jaydrift/schedule/kept_workers.hpp>
#include <jaydrift/schedule/recovery.hpp>
#include <jaydrift/schedule/room_offer.hpp>
#include <jaydrift/schedule/room_refusal.hpp>
#include <jaydrift/schedule/room_request.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/step_spec.hpp>
#include <jaydrift/schedule/submissions.hpp>
#include <jaydrift/schedule/task_assignments.hpp>
#include <jaydrift/schedule/task_transfers.hpp>
#include <jaydrift/schedule/waiting_tasks.hpp>
#include <jaydrift/schedule/worker_choice.hpp>
#include <jaydrift/schedule/worker_requests.hpp>
#include <jaydrift/schedule/workers.hpp>

#include <algorithm>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace jaydrift::schedule::room_requests {

namespace {

constexpr time_ms search_interval{500};

/// Tasks wait this long before another shard is asked. Until then the shard's
/// own workers may become free.
constexpr time_ms wait_before_request{1000};

/// Each round of requests goes to twice as many shards as the one before.
constexpr std::uint32_t max_doublings = 6;

/// Steps in one request, which must fit into a datagram. Later rounds ask for
/// the others.
constexpr std::size_t max_demands = 8;
constexpr std::size_t max_demand_bytes = 1500;

/// Bytes of a demand without its names, and at least that much with them.
constexpr std::size_t demand_bytes = 90;

/// A demand is remembered until the next requests have asked for all others.
constexpr time_ms demand_time{2000};

/// Bounds the demands that are remembered.
constexpr std::size_t max_remembered = 500;

/// Time between two searches for room for the remembered demands.
constexpr time_ms offer_interval{100};

/// Workers are kept this long for tasks of another shard, until the assignment
/// is seen here.
constexpr time_ms offer_time{1000};

/// About one worker in this many may be kept for tasks of other shards.
constexpr std::size_t workers_per_offer = 8;

/// Waiting tasks of one step that need the same.
struct waiting_group
{
    time_ms waited;
    room_demand demand;
    std::vector<std::uint32_t> indexes;
};

/// Returns the tasks that workers of this shard are kept for.
std::set<task_id> tasks_with_kept_workers(shard_context const& ctx)
{
    std::set<task_id> result;
    for (auto const& [id, worker] : ctx.shard.workers)
    {
        if (worker.kept_for)
        {
            result.insert(*worker.kept_for);
        }
    }
    return result;
}

/// Returns the tasks of a step that have waited for room for so long that other
/// shards are to be asked.
std::optional<waiting_group> group_of(shard_context const& ctx,
                                      submission_state const& submission,
                                      std::uint32_t step_index,
                                      std::set<task_id> const& served)
{
    auto const& step = submission.occurrences.front().steps[step_index];
    auto const& spec = submission.work.steps[step_index];
    auto const no_room =
        is_refusal(step.reason) || step.reason == wait_reason::skipped;
    if (!step.ready || step.waiting_tasks == 0 || !no_room
        || !task_transfers::may_move(submission, step_index))
    {
        return std::nullopt;
    }
    waiting_group result;
    result.demand = {{submission.id, 0, step_index, 0},
                     submission.terms.service,
                     spec.required_label,
                     spec.demand,
                     spec.max_per_worker};
    auto id = result.demand.task;
    for (id.index = 0; id.index < step.tasks.size(); ++id.index)
    {
        auto const& task = step.tasks[id.index];
        auto const waited = ctx.now - waiting_tasks::waiting_since(step, task);
        if (waits(task) && waited >= wait_before_request
            && !served.contains(id))
        {
            result.waited = std::max(result.waited, waited);
            result.indexes.push_back(id.index);
        }
    }
    return result.indexes.empty() ? std::nullopt
                                  : std::optional(std::move(result));
}

/// Returns such tasks of all submissions.
std::vector<waiting_group> find_groups(shard_context& ctx)
{
    std::vector<waiting_group> result;
    auto const served = tasks_with_kept_workers(ctx);
    for (auto const& id : ctx.shard.active)
    {
        auto const& submission = *submissions::find(ctx, id);
        if (submission.waiting_tasks == 0 || submission.occurrences.empty())
        {
            continue;
        }
        for (std::uint32_t i = 0; i < submission.work.steps.size(); ++i)
        {
            if (auto group = group_of(ctx, submission, i, served))
            {
                result.push_back(std::move(*group));
            }
        }
    }
    return result;
}

/// Returns the part of the groups that this round asks for: in each round the
/// smallest ones, which find room most often, and the others in turn, those
/// that have waited longest first.
std::vector<waiting_group> groups_of_round(std::vector<waiting_group> all,
                                           std::uint32_t round)
{
    auto const others =
        all.begin()
        + static_cast<std::ptrdiff_t>(std::min(all.size(), max_demands / 2));
    std::sort(all.begin(), all.end(), [](auto const& a, auto const& b) {
        return a.demand.demand.millicores < b.demand.demand.millicores;
    });
    std::sort(others, all.end(),
              [](auto const& a, auto const& b) { return a.waited > b.waited; });
    if (others != all.end())
    {
        auto const turn = round * (max_demands / 2);
        std::rotate(
            others,
            others
                + static_cast<std::ptrdiff_t>(
                    turn % static_cast<std::size_t>(all.end() - others)),
            all.end());
    }
    std::size_t bytes = 0;
    std::size_t count = 0;
    while (count < std::min(all.size(), max_demands))
    {
        auto const& demand = all[count].demand;
        bytes +=
            demand_bytes + demand.service.size() + demand.required_label.size();
        if (bytes > max_demand_bytes)
        {
            break;
        }
        ++count;
    }
    all.resize(count);
    return all;
}

/// Sends the request to the owner of a shard. `turn` tells requests of a round
/// apart, which ask for different tasks of a step.
void send(shard_context& ctx, shard_state& target,
          std::vector<waiting_group> const& groups, std::size_t turn)
{
    room_request request;
    request.shard = target.number;
    request.node = ctx.state.options.node;
    request.revision = ctx.shard.ownership.revision;
    request.asking_shard = ctx.shard.number;
    for (auto const& group : groups)
    {
        request.demands.push_back(group.demand);
        request.demands.back().task.index =
            group.indexes[turn % group.indexes.size()];
    }
    if (target.ownership.role == owner_role::owner)
    {
        shard_context target_ctx(ctx, target);
        received(target_ctx, request);
    }
    else
    {
        ctx.emit(
            send_message{target.ownership.record.address, std::move(request)});
    }
}

void log_round(shard_context& ctx, std::vector<waiting_group> const& all,
               std::size_t targets)
{
    // A line for each request of a long series would hide others.
    auto const round = ctx.shard.room_request_rounds;
    if (round > 0 && !std::has_single_bit(round))
    {
        return;
    }
    auto const first = std::max_element(
        all.begin(), all.end(),
        [](auto const& a, auto const& b) { return a.waited < b.waited; });
    ctx.log_work(
        log_level::info, "placement",
        "asking " + std::to_string(targets) + " shards for room, tasks of "
            + std::to_string(all.size()) + " steps wait, the first for "
            + std::to_string(first->waited.count()) + " ms");
}

/// A worker that may be kept for a task of another shard, with its room now and
/// once its urgent tasks have ended.
struct open_worker
{
    worker_state* worker = nullptr;
    resources room_now;
    resources room;
};

std::vector<open_worker> open_workers(shard_context& ctx)
{
    std::vector<open_worker> result;
    for (auto& [id, worker] : ctx.shard.workers)
    {
        if (!workers::usable(ctx, worker))
        {
            continue;
        }
        auto const room_now = worker.entry.capacity - worker.used;
        if (!worker.kept_for)
        {
            result.push_back(
                {&worker, room_now, workers::room_without_urgent(worker)});
        }
        else if (kept_workers::waits_for_urgent(worker))
        {
            result.push_back({&worker, room_now, room_now});
        }
    }
    return result;
}

/// Returns whether the worker may run the task once its urgent tasks have
/// ended.
bool may_serve(open_worker const& each, room_demand const& demand)
{
    auto const& entry = each.worker->entry;
    return fits(demand.demand, each.room) && entry.service == demand.service
           && (demand.required_label.empty()
               || workers::has_label(entry, demand.required_label))
           && (demand.max_per_worker == 0
               || worker_choice::tasks_of_step_on(*each.worker, demand.task)
                      < demand.max_per_worker);
}

/// Removes the worker to keep for the task from the open ones and returns it:
/// one with room now, if there is one, and of these the one that would have the
/// least room left. Null if there is none.
worker_state* take_worker(std::vector<open_worker>& open,
                          room_demand const& demand)
{
    auto const rank = [&demand](open_worker const& each) {
        return std::make_tuple(!may_serve(each, demand),
                               !fits(demand.demand, each.room_now),
                               each.room.millicores);
    };
    auto const best = std::min_element(
        open.begin(), open.end(),
        [&rank](auto const& a, auto const& b) { return rank(a) < rank(b); });
    if (best == open.end() || !may_serve(*best, demand))
    {
        return nullptr;
    }
    auto* const result = best->worker;
    open.erase(best);
    return result;
}

/// Returns how many more workers may be kept for tasks of other shards.
std::size_t offers_left(shard_context const& ctx)
{
    auto const limit = 1 + ctx.shard.workers.size() / workers_per_offer;
    auto const kept = static_cast<std::size_t>(std::count_if(
        ctx.shard.workers.begin(), ctx.shard.workers.end(),
        [&ctx](auto const& each) {
            return each.second.kept_for && ctx.now < each.second.offered_until;
        }));
    return limit - std::min(limit, kept);
}

/// Returns whether this owner may take tasks of other shards.
bool may_offer(shard_context const& ctx)
{
    return ctx.shard.ownership.role == owner_role::owner
           && !ctx.state.stopping_since && !ctx.state.store.failing_since
           && task_assignments::supported_by_all(ctx.state);
}

/// Sends an offer to the owner of the shard that has asked.
void send(shard_context& ctx, room_offer offer)
{
    ctx.count("room_offers_total", "");
    auto& asking = ctx.state.shards[offer.shard];
    if (asking.ownership.role == owner_role::owner)
    {
        shard_context asking_ctx(ctx, asking);
        task_transfers::offered(asking_ctx, offer);
    }
    else
    {
        ctx.emit(
            send_message{asking.ownership.record.address, std::move(offer)});
    }
}

/// Forgets demands that are old, or whose shard has another owner now.
void forget_demands(shard_context& ctx)
{
    std::erase_if(ctx.shard.room_demands, [&ctx](auto const& each) {
        auto const& known = each.second;
        auto const& asking = ctx.state.shards[known.asking_shard].ownership;
        return ctx.now - known.received_at >= demand_time
               || asking.revision != known.revision;
    });
}

/// Offers room for the remembered demands, those first that were received
/// first.
void offer_room(shard_context& ctx)
{
    auto open = open_workers(ctx);
    auto left = offers_left(ctx);
    auto const kept = tasks_with_kept_workers(ctx);
    std::vector<remembered_demand const*> demands;
    for (auto const& [task, known] : ctx.shard.room_demands)
    {
        demands.push_back(&known);
    }
    std::stable_sort(demands.begin(), demands.end(),
                     [](auto const* a, auto const* b) {
                         return a->received_at < b->received_at;
                     });
    std::map<std::uint32_t, room_offer> offers;
    for (auto const* const known : demands)
    {
        auto const& task = known->demand.task;
        auto* const worker = left > 0 && !kept.contains(task)
                                 ? take_worker(open, known->demand)
                                 : nullptr;
        if (worker)
        {
            kept_workers::keep(*worker, task, known->demand.demand);
            worker->offered_until = ctx.now + offer_time;
            worker->offered_to = known->asking_shard;
            offers[known->asking_shard].tasks.push_back(task);
            --left;
        }
    }
    for (auto& [asking_shard, offer] : offers)
    {
        for (auto const& task : offer.tasks)
        {
            ctx.shard.room_demands.erase(task);
        }
        offer.shard = asking_shard;
        offer.node = ctx.state.options.node;
        offer.revision = ctx.shard.ownership.revision;
        offer.offering_shard = ctx.shard.number;
        send(ctx, std::move(offer));
    }
}

/// Asks other shards for room if tasks wait for it.
void ask(shard_context& ctx)
{
    auto const all = find_groups(ctx);
    if (all.empty())
    {
        ctx.shard.room_request_rounds = 0;
        return;
    }
    auto const round = ctx.shard.room_request_rounds;
    auto targets = worker_requests::other_shards(ctx);
    targets.resize(std::min(targets.size(),
                            std::size_t{1} << std::min(round, max_doublings)));
    auto const groups = groups_of_round(all, round);
    for (std::size_t i = 0; i < targets.size(); ++i)
    {
        send(ctx, *targets[i], groups, i);
    }
    ctx.count("room_requests_total", "");
    log_round(ctx, all, targets.size());
    ++ctx.shard.room_request_rounds;
}

} // namespace

void received(shard_context& ctx, room_request const& request)
{
    if (!may_offer(ctx) || request.asking_shard >= ctx.state.shards.size()
        || request.asking_shard == ctx.shard.number)
    {
        return;
    }
    for (auto const& demand : request.demands)
    {
        if (ctx.shard.room_demands.size() < max_remembered)
        {
            ctx.shard.room_demands[demand.task] = {demand, request.asking_shard,
                                                   request.revision, ctx.now};
        }
    }
}

void refused(shard_context& ctx, room_refusal const& refusal)
{
    for (auto& [id, worker] : ctx.shard.workers)
    {
        if (worker.kept_for && ctx.now < worker.offered_until
            && std::find(refusal.tasks.begin(), refusal.tasks.end(),
                         *worker.kept_for)
                   != refusal.tasks.end())
        {
            worker.kept_for.reset();
            worker.offered_until = ctx.now;
            ctx.shard.placement_due = true;
        }
    }
}

void tick(shard_context& ctx)
{
    if (ctx.state.shards.size() < 2 || !may_offer(ctx)
        || recovery::any_worker_unaccounted(ctx))
    {
        return;
    }
    if (ctx.now >= ctx.shard.next_offer_search
        && !ctx.shard.room_demands.empty())
    {
        ctx.shard.next_offer_search = ctx.now + offer_interval;
        forget_demands(ctx);
        offer_room(ctx);
    }
    if (ctx.now >= ctx.shard.next_room_request)
    {
        ctx.shard.next_room_request = ctx.now + search_interval;
        ask(ctx);
    }
}

} // namespace jaydrift::schedule::room_requests
