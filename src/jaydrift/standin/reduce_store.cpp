#include <jaydrift/standin/reduce_store.hpp>

#include <jaydrift/standin/never.hpp>
#include <jaydrift/standin/store_step.hpp>
#include <jaydrift/standin/store_values.hpp>
#include <jaydrift/standin/vm_list.hpp>

#include <algorithm>
#include <string>
#include <type_traits>
#include <variant>

namespace jaydrift::standin {

namespace {

using store_values::run;
using vm_list::run;

template<class Request>
constexpr bool is_write =
    std::is_same_v<
        Request,
        put_request> || std::is_same_v<Request, erase_request> || std::is_same_v<Request, grant_lease_request> || std::is_same_v<Request, keep_alive_request>;

/// Puts and erases are the writes whose answers a test can have lost.
template<class Request>
constexpr bool can_lose_answer =
    std::is_same_v<Request,
                   put_request> || std::is_same_v<Request, erase_request>;

std::uint64_t& counter(store_stats& stats, put_request const&)
{
    return stats.puts;
}

std::uint64_t& counter(store_stats& stats, erase_request const&)
{
    return stats.erases;
}

std::uint64_t& counter(store_stats& stats, read_request const&)
{
    return stats.reads;
}

std::uint64_t& counter(store_stats& stats, watch_request const&)
{
    return stats.watches;
}

std::uint64_t& counter(store_stats& stats, grant_lease_request const&)
{
    return stats.lease_grants;
}

std::uint64_t& counter(store_stats& stats, keep_alive_request const&)
{
    return stats.keep_alives;
}

std::uint64_t& counter(store_stats& stats, list_vms_request const&)
{
    return stats.vm_lists;
}

template<class Request>
bool admit(store_step& step, Request const& request)
{
    auto& state = step.state;
    ++counter(state.stats, request);
    if constexpr (is_write<Request>)
    {
        return state.writes.admit(state.settings.writes_per_second, step.now);
    }
    else
    {
        return state.reads.admit(state.settings.reads_per_second, step.now);
    }
}

template<class Request>
void execute(store_step& step, std::uint64_t number, Request const& request)
{
    auto reply = run(step, request);
    if (can_lose_answer<Request> && reply.outcome == store_outcome::ok
        && step.state.answers_to_lose > 0)
    {
        --step.state.answers_to_lose;
        step.record("store_answer_lost");
        step.drop(number);
        return;
    }
    step.answer(number, std::move(reply));
}

/// A watch is answered by `answer_watches`, at once if there is a change.
void execute(store_step& step, std::uint64_t number,
             watch_request const& request)
{
    step.state.watches.push_back(
        {number, request, step.now + step.state.settings.watch_time});
}

template<class Request>
void serve(store_step& step, std::uint64_t number, Request const& request)
{
    if (step.state.outage)
    {
        step.drop(number);
        return;
    }
    if (!admit(step, request))
    {
        ++step.state.stats.overloaded;
        store_reply reply;
        reply.outcome = store_outcome::overloaded;
        step.answer(number, std::move(reply));
        return;
    }
    execute(step, number, request);
}

void drop_open_calls(store_step& step)
{
    for (auto const& watch : step.state.watches)
    {
        step.drop(watch.number);
    }
    step.state.watches.clear();
    for (auto const& late : step.state.delayed)
    {
        step.drop(late.answer.number);
    }
    step.state.delayed.clear();
}

void set_outage(store_step& step, bool outage)
{
    if (outage == step.state.outage)
    {
        return;
    }
    step.state.outage = outage;
    step.record(outage ? "store_outage_began" : "store_outage_ended");
    if (outage)
    {
        drop_open_calls(step);
    }
    else if (step.state.settings.outage_suspends_leases)
    {
        store_values::restart_leases(step);
    }
}

bool leases_run(store_state const& state)
{
    return !state.outage || !state.settings.outage_suspends_leases;
}

void send_delayed(store_step& step)
{
    auto& delayed = step.state.delayed;
    auto const due = std::stable_partition(
        delayed.begin(), delayed.end(),
        [&](delayed_answer const& late) { return late.due > step.now; });
    std::for_each(due, delayed.end(), [&](delayed_answer& late) {
        step.effects.emplace_back(std::move(late.answer));
    });
    delayed.erase(due, delayed.end());
}

/// Does what became due up to now.
void advance(store_step& step)
{
    vm_list::show_changes(step);
    if (leases_run(step.state))
    {
        store_values::expire_leases(step);
    }
    send_delayed(step);
}

/// Handles one event of the store.
class dispatcher
{
public:
    explicit dispatcher(store_step& step) : step_(step) {}

    void operator()(timer_due const&) {}

    void operator()(store_called const& input)
    {
        std::visit(
            [&](auto const& request) { serve(step_, input.number, request); },
            input.request);
    }

    void operator()(set_store_fault const& input)
    {
        switch (input.fault)
        {
        case store_fault::outage:
            return set_outage(step_, input.value != 0);
        case store_fault::slowness:
            step_.state.slowness = time_ms(input.value);
            return;
        case store_fault::lose_answers:
            step_.state.answers_to_lose =
                static_cast<std::uint64_t>(input.value);
            return;
        }
    }

    void operator()(register_vm const& input)
    {
        vm_list::on_register(step_, input);
    }

    void operator()(mark_vm const& input) { vm_list::on_mark(step_, input); }

private:
    store_step& step_;
};

} // namespace

store_effects reduce(store_state& state, store_event const& input, time_ms now)
{
    store_effects effects;
    store_step step{state, now, effects};
    advance(step);
    std::visit(dispatcher(step), input);
    store_values::answer_watches(step);
    return effects;
}

time_ms next_timer(store_state const& state)
{
    auto next = never;
    for (auto const& watch : state.watches)
    {
        next = std::min(next, watch.expires_at);
    }
    for (auto const& late : state.delayed)
    {
        next = std::min(next, late.due);
    }
    if (!state.vm_changes.empty())
    {
        next = std::min(next, state.vm_changes.front().visible_at);
    }
    if (leases_run(state))
    {
        for (auto const& [number, lease] : state.leases)
        {
            next = std::min(next, lease.expires_at);
        }
    }
    return next;
}

} // namespace jaydrift::standin
