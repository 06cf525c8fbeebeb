#include <jaydrift/decide/request_steps.hpp>
#include <jaydrift/decide/worker_choice.hpp>

#include <jaydrift/decide/batch.hpp>
#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/ownership.hpp>
#include <jaydrift/decide/policy.hpp>
#include <jaydrift/decide/workers.hpp>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace jaydrift::decide::requests {

namespace {

/// Number of requests at the front of a queue that may be skipped to start a
/// later one.
constexpr std::size_t max_skipped = 16;

/// Time without a usable worker before a request is delegated. A shorter gap,
/// such as a late renewal, does not justify a call to another region.
constexpr time_ms delegate_after{300};

/// Time that evictions may take before room is requested again.
constexpr time_ms make_room_interval{1000};

/// A request is skipped if another of its kind found no room in the same pass.
/// It is still tried at this interval, because it may find other batch work to
/// evict.
constexpr time_ms full_kind_retry_interval{1000};

/// Time after the last deadline in which a reply still completes the entry, for
/// repeats of the request.
constexpr time_ms late_answer_window{10000};

time_ms answer_timeout(context const& ctx, request_entry const& entry)
{
    auto latest = ctx.now;
    for (auto const& waiter : entry.waiters)
    {
        latest = std::max(latest, waiter.deadline);
    }
    return latest - ctx.now + late_answer_window;
}

void observe_start(context& ctx, request_entry const& entry)
{
    auto& requests = ctx.state.requests;
    auto& queue = requests.queues.at(queue_index(entry.priority));
    if (entry.attempt == 1)
    {
        ctx.emit(
            observe{"request_queue_ms", (ctx.now - entry.arrived).count()});
        requests.retries.first_attempt();
    }
    constexpr std::int64_t longest_sample_us = 1000000;
    auto const sample = std::min((ctx.now - queue.last_start).count() * 1000,
                                 longest_sample_us);
    // Starts from an empty queue do not show how fast the workers are.
    queue.interval_us =
        queue.length == 0 ? 0 : (queue.interval_us * 7 + sample) / 8;
    queue.last_start = ctx.now;
}

void start(context& ctx, request_key const& key, request_entry& entry,
           std::string const& worker, resources const& demand)
{
    dequeue(ctx.state, key, entry);
    entry.phase = request_phase::started;
    entry.worker = worker;
    ++entry.attempt;
    observe_start(ctx, entry);

    start_request message;
    message.term = ownership::term(ctx.state, key.shard);
    message.task.id = key.id;
    message.task.kind = entry.request.kind;
    message.task.priority = entry.priority;
    message.task.demand = demand;
    message.attempt = entry.attempt;
    message.start_before = ownership::start_deadline(ctx.state, worker);
    message.payload = entry.request.payload;
    workers::reserve(ctx, worker, message.task);
    auto const* vm = workers::find(ctx.state, worker);
    ctx.add_timeline_event("request_started", key.id, {}, worker);
    auto const correlation =
        ctx.ask_worker(reducer_module::requests, worker, vm->address,
                       std::move(message), answer_timeout(ctx, entry));
    ctx.state.requests.starts[correlation] =
        start_in_flight{key, entry.attempt, worker};
}

void make_room(context& ctx, request_entry& entry, std::string const& worker,
               resources const& demand)
{
    if (entry.room_requested_at
        && ctx.now < *entry.room_requested_at + make_room_interval)
    {
        return;
    }
    entry.room_requested_at = ctx.now;
    batch::make_room(ctx, worker, demand);
}

bool region_closed(daemon_state const& state, std::string_view region)
{
    auto const& zones = policy::current(state).zones;
    auto const in_region = [&](auto const& zone) {
        return zone.region == region;
    };
    return std::any_of(zones.begin(), zones.end(), in_region)
           && std::none_of(zones.begin(), zones.end(), [&](auto const& zone) {
                  return in_region(zone) && policy::zone_open(state, zone.name);
              });
}

/// Only an owner with valid authority delegates, because its successor would
/// not know of a later delegation.
bool should_delegate(context const& ctx, request_key const& key,
                     request_entry const& entry)
{
    if (entry.delegated_here
        || !ownership::serving(ctx.state, key.shard, ctx.now)
        || !delegate_shard(ctx.state, entry.request.home_region, key.id))
    {
        return false;
    }
    return region_closed(ctx.state, key.shard.region)
           || (ctx.now >= entry.arrived + delegate_after
               && !any_usable_worker(ctx, key.shard));
}

/// Result of an attempt to place a waiting request.
enum class placement
{
    left_queue,
    no_room,
    /// The retry budget is used up.
    retry_denied
};

/// Tries to start or delegate a waiting request.
placement place(context& ctx, request_key const& key, request_entry& entry)
{
    auto const* kind = policy::find_kind(ctx.state, entry.request.kind);
    if (kind == nullptr)
    {
        finish(ctx, key,
               not_run("kind: \"" + entry.request.kind
                       + "\" was removed from the policy"));
        return placement::left_queue;
    }
    auto const choice =
        choose_worker(ctx, key.shard,
                      {kind->kind, entry.priority, kind->demand, entry.worker});
    if (!choice.worker)
    {
        entry.no_room_at = ctx.now;
        if (choice.least_loaded)
        {
            make_room(ctx, entry, *choice.least_loaded, kind->demand);
        }
        else if (should_delegate(ctx, key, entry))
        {
            delegate(ctx, key);
            return placement::left_queue;
        }
        return placement::no_room;
    }
    if (entry.attempt > 0 && !ctx.state.requests.retries.take())
    {
        return placement::retry_denied;
    }
    start(ctx, key, entry, *choice.worker, kind->demand);
    return placement::left_queue;
}

/// Tells whether a request is not tried in this pass: it waits after a refusal,
/// or another of its kind found no room. This bounds the cost of a long queue.
bool may_skip(context const& ctx, request_entry const& entry,
              std::vector<std::string> const& full_kinds)
{
    if (ctx.now < entry.not_before)
    {
        return true;
    }
    auto const full =
        std::find(full_kinds.begin(), full_kinds.end(), entry.request.kind)
        != full_kinds.end();
    return full && entry.no_room_at
           && ctx.now < *entry.no_room_at + full_kind_retry_interval;
}

void dispatch_queue(context& ctx, shard_id const& shard, std::size_t queue)
{
    auto& waiting = ctx.state.requests.shards[shard].waiting.at(queue);
    std::vector<std::string> full_kinds;
    std::size_t skipped = 0;
    while (skipped < waiting.size() && skipped < max_skipped)
    {
        request_key const key{shard, waiting[skipped]};
        auto* entry = find_entry(ctx.state, key);
        if (may_skip(ctx, *entry, full_kinds))
        {
            ++skipped;
            continue;
        }
        auto const kind = entry->request.kind;
        auto const result = place(ctx, key, *entry);
        skipped += result == placement::left_queue ? 0 : 1;
        if (result == placement::no_room)
        {
            full_kinds.push_back(kind);
        }
    }
}

} // namespace

std::size_t queue_index(task_class priority)
{
    return priority == task_class::urgent ? 0 : 1;
}

void enqueue(daemon_state& state, request_key const& key, request_entry& entry,
             bool first)
{
    auto& requests = state.requests;
    auto const queue = queue_index(entry.priority);
    auto& waiting = requests.shards[key.shard].waiting.at(queue);
    entry.phase = request_phase::waiting;
    if (first)
    {
        waiting.push_front(key.id);
    }
    else
    {
        waiting.push_back(key.id);
    }
    ++requests.queues.at(queue).length;
}

void dequeue(daemon_state& state, request_key const& key,
             request_entry const& entry)
{
    auto& requests = state.requests;
    auto const queue = queue_index(entry.priority);
    auto& waiting = requests.shards[key.shard].waiting.at(queue);
    auto const found = std::find(waiting.begin(), waiting.end(), key.id);
    if (found != waiting.end())
    {
        waiting.erase(found);
        --requests.queues.at(queue).length;
    }
}

void dispatch(context& ctx, shard_id const& shard)
{
    auto const& shards = ctx.state.requests.shards;
    for (std::size_t queue = 0; queue < 2; ++queue)
    {
        auto const found = shards.find(shard);
        if (found == shards.end())
        {
            return;
        }
        if (!found->second.waiting.at(queue).empty())
        {
            dispatch_queue(ctx, shard, queue);
        }
    }
}

} // namespace jaydrift::decide::requests
