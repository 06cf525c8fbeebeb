#include <jaydrift/schedule/reduce.hpp>

#include <jaydrift/schedule/area_watch.hpp>
#include <jaydrift/schedule/assignments.hpp>
#include <jaydrift/schedule/calls.hpp>
#include <jaydrift/schedule/cancellations.hpp>
#include <jaydrift/schedule/daemon_state.hpp>
#include <jaydrift/schedule/event.hpp>
#include <jaydrift/schedule/guest_submissions.hpp>
#include <jaydrift/schedule/layout.hpp>
#include <jaydrift/schedule/ownership.hpp>
#include <jaydrift/schedule/placement_policy.hpp>
#include <jaydrift/schedule/record_log.hpp>
#include <jaydrift/schedule/recovery.hpp>
#include <jaydrift/schedule/relay.hpp>
#include <jaydrift/schedule/relocation.hpp>
#include <jaydrift/schedule/room_requests.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/start_flow.hpp>
#include <jaydrift/schedule/stopping.hpp>
#include <jaydrift/schedule/store_session.hpp>
#include <jaydrift/schedule/submissions.hpp>
#include <jaydrift/schedule/task_assignments.hpp>
#include <jaydrift/schedule/task_transfers.hpp>
#include <jaydrift/schedule/view_age.hpp>
#include <jaydrift/schedule/waiting_tasks.hpp>
#include <jaydrift/schedule/worker_replies.hpp>
#include <jaydrift/schedule/worker_requests.hpp>
#include <jaydrift/schedule/worker_transfers.hpp>
#include <jaydrift/schedule/workers.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace jaydrift::schedule {

namespace {

/// Interval of ticks, which limits the precision of all time limits. A tick
/// costs an owner tens of microseconds.
constexpr time_ms owner_tick{20};
constexpr time_ms follower_tick{50};

/// Notes that the process stood still before this event.
void note_standstill(context& ctx)
{
    auto const last = ctx.state.last_event_at;
    if (ctx.now - last >= shortest_standstill)
    {
        ctx.state.last_standstill = {last, ctx.now};
    }
}

/// Does what is due in all parts.
void tick(context& ctx)
{
    ctx.state.next_tick =
        ctx.now
        + (layout::holds_any_shard(ctx.state) ? owner_tick : follower_tick);
    store_session::tick(ctx);
    relay::tick(ctx);
    for (auto& shard : ctx.state.shards)
    {
        shard_context shard_ctx(ctx, shard);
        ownership::tick(shard_ctx);
        recovery::tick(shard_ctx);
        submissions::tick(shard_ctx);
        workers::tick(shard_ctx);
        relocation::tick(shard_ctx);
        cancellations::tick(shard_ctx);
        worker_requests::tick(shard_ctx);
        worker_transfers::tick(shard_ctx);
        assignments::tick(shard_ctx);
        guest_submissions::tick(shard_ctx);
        task_assignments::tick(shard_ctx);
        room_requests::tick(shard_ctx);
        task_transfers::tick(shard_ctx);
    }
    calls::tick(ctx);
    view_age::tick(ctx);
    start_flow::tick(ctx);
    stopping::tick(ctx);
}

/// Passes a message of another daemon to the part that handles it.
template<class Message>
void received(shard_context& ctx, Message const& message)
{
    ownership::received(ctx, message);
}

void received(shard_context& ctx, worker_request const& message)
{
    worker_transfers::received(ctx, message);
}

void received(shard_context& ctx, room_request const& message)
{
    room_requests::received(ctx, message);
}

void received(shard_context& ctx, room_offer const& message)
{
    task_transfers::offered(ctx, message);
}

void received(shard_context& ctx, room_refusal const& message)
{
    room_requests::refused(ctx, message);
}

void received(shard_context& ctx, tasks_assigned const& message)
{
    task_assignments::received(ctx, message);
}

/// Passes an event to the part that handles it.
struct event_handler
{
    context& ctx;

    void operator()(timer_due const& input) const
    {
        ctx.state.wall_offset = input.wall_time - ctx.now;
        for (auto& shard : ctx.state.shards)
        {
            if (shard.last_pass == ctx.state.last_timer_at)
            {
                placement_policy::note_duration(shard, input.previous_took);
            }
        }
        ctx.state.last_timer_at = ctx.now;
    }
    void operator()(call_arrived const& input) const
    {
        calls::arrived(ctx, input);
    }
    void operator()(forward_replied const& input) const
    {
        calls::forward_ended(ctx, input);
    }
    void operator()(store_replied const& input) const
    {
        store_session::replied(ctx, input);
    }
    void operator()(relay_call_arrived const& input) const
    {
        relay::arrived(ctx, input);
    }
    void operator()(relay_replied const& input) const
    {
        area_watch::relayed(ctx, input);
    }
    void operator()(worker_replied const& input) const
    {
        worker_replies::received(ctx, input);
    }
    void operator()(message_arrived const& input) const
    {
        std::visit(
            [this](auto const& message) {
                // A message in the name of this daemon is of an earlier
                // process or of another writer.
                if (message.shard < ctx.state.shards.size()
                    && message.node != ctx.state.options.node)
                {
                    shard_context shard_ctx(ctx,
                                            ctx.state.shards[message.shard]);
                    received(shard_ctx, message);
                }
            },
            input.message);
    }
    void operator()(settings_changed const& input) const
    {
        auto const previous = std::exchange(ctx.state.options, input.options);
        ctx.state.options.node = previous.node;
        ctx.state.options.address = previous.address;
        ctx.state.options.incarnation = previous.incarnation;
        ctx.log(log_level::info, "process", "settings read again");
    }
    void operator()(stop_requested const&) const { stopping::requested(ctx); }
};

} // namespace

daemon_state initial_state(settings options, time_ms now)
{
    daemon_state result;
    result.random = random_source(options.incarnation);
    result.options = std::move(options);
    result.last_event_at = now;
    result.next_tick = now;
    return result;
}

effect_list reduce(daemon_state& state, event const& input, time_ms now)
{
    effect_list result;
    context ctx{state, now, result};
    note_standstill(ctx);
    // First, so that an owner that was frozen starts and stops no tasks because
    // of the event.
    for (auto& shard : state.shards)
    {
        shard_context shard_ctx(ctx, shard);
        ownership::suspend_after_standstill(shard_ctx);
    }
    std::visit(event_handler{ctx}, input);
    if (now >= state.next_tick)
    {
        tick(ctx);
    }
    // Passes over the waiting tasks are the longest steps. They run only on
    // timer events, so that events that are queued go first.
    auto const on_timer = std::holds_alternative<timer_due>(input);
    for (auto& shard : state.shards)
    {
        shard_context shard_ctx(ctx, shard);
        if (on_timer)
        {
            placement_policy::tick(shard_ctx);
            waiting_tasks::tick(shard_ctx);
        }
        // After every event, since each may change records.
        record_log::tick(shard_ctx);
    }
    state.last_event_at = now;
    return result;
}

time_ms next_timer(daemon_state const& state)
{
    auto result = state.next_tick;
    for (auto const& shard : state.shards)
    {
        if (shard.ownership.role == owner_role::owner && state.config)
        {
            result = std::min(result, placement_policy::next_pass_at(shard));
        }
    }
    return result;
}

} // namespace jaydrift::schedule
