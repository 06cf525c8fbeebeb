#include <jaydrift/standin/reduce_store.hpp>

#include <jaydrift/standin/never.hpp>
#include <jaydrift/standin/store_context.hpp>
#include <jaydrift/standin/store_values.hpp>
#include <jaydrift/standin/vm_list.hpp>

#include <algorithm>
#include <string>
#include <type_traits>
#include <variant>

namespace jaydrift::standin {

namespace {

using store_values::reply_to;
using vm_list::reply_to;

template<class Request>
constexpr bool is_write =
    std::is_same_v<
        Request,
        put_request> || std::is_same_v<Request, erase_request> || std::is_same_v<Request, grant_lease_request> || std::is_same_v<Request, keep_alive_request>;

/// Requests to which `store_fault::lose_answers` applies.
template<class Request>
constexpr bool can_lose_answer =
    std::is_same_v<Request,
                   put_request> || std::is_same_v<Request, erase_request>;

std::uint64_t& call_counter(store_stats& stats, put_request const&)
{
    return stats.puts;
}

std::uint64_t& call_counter(store_stats& stats, erase_request const&)
{
    return stats.erases;
}

std::uint64_t& call_counter(store_stats& stats, read_request const&)
{
    return stats.reads;
}

std::uint64_t& call_counter(store_stats& stats, watch_request const&)
{
    return stats.watches;
}

std::uint64_t& call_counter(store_stats& stats, grant_lease_request const&)
{
    return stats.lease_grants;
}

std::uint64_t& call_counter(store_stats& stats, keep_alive_request const&)
{
    return stats.keep_alives;
}

std::uint64_t& call_counter(store_stats& stats, list_vms_request const&)
{
    return stats.vm_lists;
}

/// Counts a call and returns whether it is within the rate limits.
template<class Request>
bool count_and_admit(store_context& ctx, Request const& request)
{
    auto& state = ctx.state;
    ++call_counter(state.stats, request);
    if constexpr (is_write<Request>)
    {
        return state.writes.admit(state.settings.writes_per_second, ctx.now);
    }
    else
    {
        return state.reads.admit(state.settings.reads_per_second, ctx.now);
    }
}

template<class Request>
void execute(store_context& ctx, std::uint64_t number, Request const& request)
{
    auto reply = reply_to(ctx, request);
    if (can_lose_answer<Request> && reply.outcome == store_outcome::ok
        && ctx.state.answers_to_lose > 0)
    {
        --ctx.state.answers_to_lose;
        ctx.record("store_answer_lost");
        ctx.drop(number);
        return;
    }
    ctx.answer(number, std::move(reply));
}

/// Queues a watch. `answer_watches` answers it, in the same step if there is a
/// change already.
void execute(store_context& ctx, std::uint64_t number,
             watch_request const& request)
{
    ctx.state.watches.push_back(
        {number, request, ctx.now + ctx.state.settings.watch_time});
}

template<class Request>
void serve(store_context& ctx, std::uint64_t number, Request const& request)
{
    if (ctx.state.outage)
    {
        ctx.drop(number);
        return;
    }
    if (!count_and_admit(ctx, request))
    {
        ++ctx.state.stats.overloaded;
        store_reply reply;
        reply.outcome = store_outcome::overloaded;
        ctx.answer(number, std::move(reply));
        return;
    }
    execute(ctx, number, request);
}

/// Drops the waiting watches and the delayed replies.
void drop_open_calls(store_context& ctx)
{
    for (auto const& watch : ctx.state.watches)
    {
        ctx.drop(watch.number);
    }
    ctx.state.watches.clear();
    for (auto const& pending : ctx.state.delayed)
    {
        ctx.drop(pending.answer.number);
    }
    ctx.state.delayed.clear();
}

void set_outage(store_context& ctx, bool outage)
{
    if (outage == ctx.state.outage)
    {
        return;
    }
    ctx.state.outage = outage;
    ctx.record(outage ? "store_outage_began" : "store_outage_ended");
    if (outage)
    {
        drop_open_calls(ctx);
    }
    else if (ctx.state.settings.outage_suspends_leases)
    {
        store_values::restart_leases(ctx);
    }
}

bool leases_can_expire(store_state const& state)
{
    return !state.outage || !state.settings.outage_suspends_leases;
}

void send_delayed(store_context& ctx)
{
    auto& delayed = ctx.state.delayed;
    auto const due = std::stable_partition(
        delayed.begin(), delayed.end(),
        [&](delayed_answer const& pending) { return pending.due > ctx.now; });
    std::for_each(due, delayed.end(), [&](delayed_answer& pending) {
        ctx.effects.emplace_back(std::move(pending.answer));
    });
    delayed.erase(due, delayed.end());
}

/// Handles everything that is due by now.
void advance(store_context& ctx)
{
    vm_list::publish_changes(ctx);
    if (leases_can_expire(ctx.state))
    {
        store_values::expire_leases(ctx);
    }
    send_delayed(ctx);
}

/// Handles one event of the store.
class dispatcher
{
public:
    explicit dispatcher(store_context& ctx) : ctx_(ctx) {}

    void operator()(timer_due const&) {}

    void operator()(store_called const& input)
    {
        std::visit(
            [&](auto const& request) { serve(ctx_, input.number, request); },
            input.request);
    }

    void operator()(set_store_fault const& input)
    {
        switch (input.fault)
        {
        case store_fault::outage:
            return set_outage(ctx_, input.value != 0);
        case store_fault::slowness:
            ctx_.state.slowness = time_ms(input.value);
            return;
        case store_fault::lose_answers:
            ctx_.state.answers_to_lose =
                static_cast<std::uint64_t>(input.value);
            return;
        }
    }

    void operator()(register_vm const& input)
    {
        vm_list::on_register(ctx_, input);
    }

    void operator()(mark_vm const& input) { vm_list::on_mark(ctx_, input); }

private:
    store_context& ctx_;
};

} // namespace

store_effects reduce(store_state& state, store_event const& input, time_ms now)
{
    store_effects effects;
    store_context ctx{state, now, effects};
    advance(ctx);
    std::visit(dispatcher(ctx), input);
    store_values::answer_watches(ctx);
    return effects;
}

time_ms next_timer(store_state const& state)
{
    auto next = never;
    for (auto const& watch : state.watches)
    {
        next = std::min(next, watch.expires_at);
    }
    for (auto const& pending : state.delayed)
    {
        next = std::min(next, pending.due);
    }
    if (!state.vm_changes.empty())
    {
        next = std::min(next, state.vm_changes.front().visible_at);
    }
    if (leases_can_expire(state))
    {
        for (auto const& [number, lease] : state.leases)
        {
            next = std::min(next, lease.expires_at);
        }
    }
    return next;
}

} // namespace jaydrift::standin
