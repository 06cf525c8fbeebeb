#include <jaydrift/decide/requests.hpp>

#include <jaydrift/core/hash.hpp>
#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/ownership.hpp>
#include <jaydrift/decide/policy.hpp>

#include <jaydrift/decide/request_steps.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace jaydrift::decide::requests {

namespace {

/// Bounds the memory of entries: 570 starts/s for 10 minutes on 7 daemons are
/// 49,000 entries each, and one daemon may hold the shards of three.
constexpr std::size_t max_records = 150000;
/// Waiters of one entry.
constexpr std::size_t max_waiters = 64;
/// A request is not queued while the payloads of open requests exceed this,
/// and gets no entry while they exceed twice as much.
constexpr std::uint64_t max_payload_bytes = 64U << 20U;
constexpr std::size_t max_id_bytes = 256;

/// Longer waits would only keep payloads in memory.
constexpr time_ms max_time_limit{300000};

/// Tells whether a request may have been issued before this daemon acquired the
/// shard.
bool may_predate_ownership(daemon_state const& state, shard_id const& shard,
                           urgent_request const& request)
{
    auto const limit =
        ownership::acquired_at(state, shard) + state.settings.clock_skew;
    return !request.issued_at || *request.issued_at <= limit;
}

/// Returns why a request without an entry may have run, or an empty string.
std::string possible_run(context const& ctx, shard_id const& shard,
                         urgent_request const& request)
{
    auto const& settings = ctx.state.settings;
    auto const retained = ctx.now - settings.request_retention;
    if (request.issued_at
        && *request.issued_at < retained + settings.clock_skew)
    {
        return "the request is older than the retention time of request IDs";
    }
    auto const acquired = ownership::acquired_at(ctx.state, shard);
    if (acquired > retained && may_predate_ownership(ctx.state, shard, request)
        && !ownership::request_inventory_complete(ctx.state, shard))
    {
        return "an earlier owner may have run it on a worker that did not "
               "answer";
    }
    return {};
}

/// Returns the field that makes a request invalid and why, or an empty string.
std::string invalid_field(daemon_state const& state,
                          urgent_request const& request)
{
    auto const* kind = policy::find_kind(state, request.kind);
    if (kind == nullptr)
    {
        return "kind: \"" + request.kind + "\" is not in the policy";
    }
    if (kind->priority != task_class::urgent
        && kind->priority != task_class::service)
    {
        return "kind: \"" + request.kind + "\" is not urgent or service work";
    }
    return {};
}

/// Returns why a request cannot be queued, or an empty string.
std::string overload(daemon_state const& state, task_class priority,
                     urgent_request const& request)
{
    auto const& requests = state.requests;
    auto const& queue = requests.queues.at(queue_index(priority));
    if (queue.length >= state.settings.max_waiting_requests)
    {
        return "the queue of waiting requests is full";
    }
    auto const wait_us =
        static_cast<std::int64_t>(queue.length) * queue.interval_us;
    if (wait_us / 1000 > request.time_limit.count())
    {
        return "the expected wait is longer than the deadline allows";
    }
    if (requests.payload_bytes > max_payload_bytes)
    {
        return "the memory for waiting payloads is full";
    }
    return {};
}

std::uint64_t payload_hash(urgent_request const& request)
{
    return stable_hash(request.payload);
}

/// Returns the field in which a repeat differs from the first request, or an
/// empty string.
std::string changed_field(request_entry const& entry,
                          urgent_request const& request)
{
    if (!entry.request.kind.empty() && entry.request.kind != request.kind)
    {
        return "kind: differs from an earlier request with this ID";
    }
    if (entry.payload_hash && *entry.payload_hash != payload_hash(request))
    {
        return "payload: differs from an earlier request with this ID";
    }
    return {};
}

/// Asks the other region, which may know the result of a request by now.
void ask_other_region(context& ctx, request_key const& key,
                      request_entry& entry, urgent_request request)
{
    ctx.state.requests.payload_bytes += request.payload.size();
    entry.request = std::move(request);
    if (entry.check_needed)
    {
        check_delegation(ctx, key);
        return;
    }
    delegate(ctx, key);
}

void join(context& ctx, request_key const& key, request_entry& entry,
          urgent_request request, request_waiter waiter)
{
    if (auto const field = changed_field(entry, request); !field.empty())
    {
        send_result(ctx, waiter, key.id, not_run(field));
        return;
    }
    ctx.add_timeline_event("request_joined", key.id);
    auto const may_be_resolved = entry.phase == request_phase::unresolved
                                 && (entry.delegated || entry.check_needed);
    auto const closed = entry.phase == request_phase::done
                        || entry.phase == request_phase::unresolved;
    if (closed && !may_be_resolved)
    {
        send_result(ctx, waiter, key.id, entry.result);
        return;
    }
    if (entry.waiters.size() >= max_waiters)
    {
        send_result(ctx, waiter, key.id,
                    unknown("too many repeats of the request are waiting"));
        return;
    }
    add_waiter(ctx, key, entry, std::move(waiter));
    if (may_be_resolved)
    {
        ask_other_region(ctx, key, entry, std::move(request));
    }
}

request_entry& create(context& ctx, request_key const& key,
                      urgent_request request, bool delegated)
{
    auto& requests = ctx.state.requests;
    auto& entry = requests.shards[key.shard].entries[key.id];
    ++requests.entry_count;
    requests.payload_bytes += request.payload.size();
    entry.payload_hash = payload_hash(request);
    entry.arrived = ctx.now;
    entry.delegated_here = delegated;
    // Not `waiting`, because the entry is not in a queue yet.
    entry.phase = request_phase::checking;
    if (auto const* kind = policy::find_kind(ctx.state, request.kind))
    {
        entry.priority = kind->priority;
    }
    entry.request = std::move(request);
    return entry;
}

/// Limits the request's time limit and makes a waiter with that deadline.
request_waiter make_waiter(context const& ctx, urgent_request& request,
                           decltype(request_waiter::who) who)
{
    request.time_limit =
        std::clamp(request.time_limit, time_ms(0), max_time_limit);
    return {std::move(who), ctx.now, ctx.now + request.time_limit};
}

} // namespace

void execute_here(context& ctx, shard_id const& shard, urgent_request request,
                  bool delegated, request_waiter waiter)
{
    request_key const key{shard, request.id};
    if (auto* entry = find_entry(ctx.state, key))
    {
        join(ctx, key, *entry, std::move(request), std::move(waiter));
        return;
    }
    if (auto const reason = possible_run(ctx, shard, request); !reason.empty())
    {
        ctx.add_timeline_event("request_unknown", key.id, {}, reason);
        send_result(ctx, waiter, key.id, unknown(reason));
        return;
    }
    if (ctx.state.requests.entry_count >= max_records
        || ctx.state.requests.payload_bytes > 2 * max_payload_bytes)
    {
        // Without an entry, a delayed repeat could run a request that was
        // reported as not run.
        send_result(ctx, waiter, key.id,
                    unknown("the memory for requests is full"));
        return;
    }
    auto const check = !delegated && check_needed(ctx, key, request);
    auto& entry = create(ctx, key, std::move(request), delegated);
    add_waiter(ctx, key, entry, std::move(waiter));
    if (check)
    {
        check_delegation(ctx, key);
        return;
    }
    admit(ctx, key);
}

void admit(context& ctx, request_key const& key)
{
    auto* entry = find_entry(ctx.state, key);
    auto reason = invalid_field(ctx.state, entry->request);
    if (reason.empty())
    {
        reason = overload(ctx.state, entry->priority, entry->request);
    }
    if (!reason.empty())
    {
        // The entry with the refusal keeps a delayed repeat from running a
        // request that was reported as not run.
        finish(ctx, key, not_run(std::move(reason)));
        return;
    }
    enqueue(ctx.state, key, *entry, false);
    dispatch(ctx, key.shard);
}

void on_request_arrived(context& ctx, request_arrived const& event)
{
    auto request = event.request;
    if (request.home_region.empty())
    {
        request.home_region = ctx.state.settings.self.region;
    }
    auto waiter = make_waiter(ctx, request, waiting_caller{event.call});
    ctx.add_timeline_event("request_arrived", request.id);
    if (request.id.empty() || request.id.size() > max_id_bytes)
    {
        send_result(ctx, waiter, request.id,
                    not_run("id: must have 1 to 256 bytes"));
        return;
    }
    auto const& regions = ctx.state.settings.regions;
    if (std::find(regions.begin(), regions.end(), request.home_region)
        == regions.end())
    {
        send_result(ctx, waiter, request.id,
                    not_run("home region: \"" + request.home_region
                            + "\" is not a region of this deployment"));
        return;
    }
    auto const shard =
        ownership::shard_of_key(ctx.state, request.home_region, request.id);
    forward(ctx, std::move(request), shard, forward_purpose::execute,
            std::move(waiter));
}

void on_execute(context& ctx, peer_called const& call,
                execute_request const& input)
{
    auto request = input.request;
    auto waiter = make_waiter(ctx, request, waiting_peer{call.call});
    auto const shard =
        input.delegated
            ? delegate_shard(ctx.state, request.home_region, request.id)
            : ownership::shard_of_key(ctx.state, request.home_region,
                                      request.id);
    if (!shard || request.id.empty() || request.id.size() > max_id_bytes)
    {
        ctx.emit(answer_peer{call.call, peer_acknowledgement{false}});
        return;
    }
    forward(ctx, std::move(request), *shard,
            input.delegated ? forward_purpose::delegate
                            : forward_purpose::execute,
            std::move(waiter));
}

} // namespace jaydrift::decide::requests
