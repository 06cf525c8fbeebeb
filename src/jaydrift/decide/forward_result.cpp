#include <jaydrift/decide/requests.hpp>

#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/forward_steps.hpp>
#include <jaydrift/decide/ownership.hpp>
#include <jaydrift/decide/request_steps.hpp>

#include <utility>
#include <variant>
#include <vector>

namespace jaydrift::decide::requests {

namespace {

/// Tells whether the caller cannot have sent the request through another daemon
/// before. That is known only if the time of issue, less the clock skew, is not
/// before the arrival here.
bool known_new(daemon_state const& state, forward_entry const& entry)
{
    auto const& issued = entry.request.issued_at;
    return issued
           && *issued >= entry.waiter.arrived + state.settings.clock_skew;
}

void give_up(context& ctx, std::uint64_t number)
{
    auto const sent = forward_sent(ctx.state, number);
    auto const entry = take_forward(ctx.state, number);
    if (entry.purpose == forward_purpose::check)
    {
        leave_unresolved(ctx, std::get<waiting_record>(entry.waiter.who).key,
                         "the other region could not be asked about it");
        return;
    }
    auto const result = !sent && known_new(ctx.state, entry)
                            ? not_run("no owner of the request was reached")
                            : unknown("the owner of the request did not answer "
                                      "before the deadline");
    send_result(ctx, entry.waiter, entry.request.id, result);
}

/// Makes the next attempt, or checks whether the owner has changed while a call
/// is open. The reply of an earlier owner is not awaited: the new owner decides
/// from its own entries whether the ID may run.
void advance_forward(context& ctx, std::uint64_t number)
{
    auto& entry = ctx.state.requests.forwards.at(number);
    if (ctx.now >= entry.waiter.deadline)
    {
        give_up(ctx, number);
        return;
    }
    if (entry.correlation == 0)
    {
        attempt_forward(ctx, number);
        return;
    }
    auto const owner = ownership::owner_of(ctx.state, entry.shard);
    if (!owner || *owner == entry.daemon)
    {
        schedule_forward(ctx.state, number, entry,
                         ctx.now + owner_check_interval);
        return;
    }
    entry.sent = true;
    close_call(ctx.state, entry);
    attempt_forward(ctx, number);
}

void advance_each(context& ctx, std::vector<std::uint64_t> const& numbers)
{
    for (auto const number : numbers)
    {
        if (ctx.state.requests.forwards.contains(number))
        {
            advance_forward(ctx, number);
        }
    }
}

/// Tells whether the called daemon did nothing because it does not own the
/// shard.
bool refused(peer_reply const& reply)
{
    auto const* acknowledgement = std::get_if<peer_acknowledgement>(&reply);
    return acknowledgement != nullptr && !acknowledgement->accepted;
}

} // namespace

void advance_due_forwards(context& ctx)
{
    std::vector<std::uint64_t> numbers;
    for (auto const& [due, number] : ctx.state.requests.forwards_due)
    {
        if (due > ctx.now)
        {
            break;
        }
        numbers.push_back(number);
    }
    advance_each(ctx, numbers);
}

void advance_forwards_to(context& ctx, shard_id const& shard)
{
    std::vector<std::uint64_t> numbers;
    for (auto const& [number, entry] : ctx.state.requests.forwards)
    {
        if (entry.shard == shard)
        {
            numbers.push_back(number);
        }
    }
    advance_each(ctx, numbers);
}

void on_peer_replied(context& ctx, peer_replied const& event)
{
    auto const& calls = ctx.state.requests.forward_of_call;
    auto const found = calls.find(event.correlation);
    if (found == calls.end())
    {
        ctx.add_timeline_event("late_answer_dropped", {}, {}, event.daemon);
        return;
    }
    auto const number = found->second;
    if (refused(event.reply))
    {
        retry_forward_later(ctx, number);
        return;
    }
    auto const& entry = ctx.state.requests.forwards.at(number);
    if (entry.purpose == forward_purpose::check)
    {
        auto const asked = take_forward(ctx.state, number);
        on_checked(ctx, std::get<waiting_record>(asked.waiter.who).key,
                   event.reply);
        return;
    }
    auto const* result = std::get_if<request_result>(&event.reply);
    if (result == nullptr)
    {
        ctx.state.requests.forwards.at(number).sent = true;
        retry_forward_later(ctx, number);
        return;
    }
    auto const answered = take_forward(ctx.state, number);
    send_result(ctx, answered.waiter, answered.request.id, *result);
}

void on_peer_failed(context& ctx, peer_failed const& event)
{
    auto const& calls = ctx.state.requests.forward_of_call;
    auto const found = calls.find(event.correlation);
    if (found == calls.end())
    {
        return;
    }
    auto const number = found->second;
    auto& entry = ctx.state.requests.forwards.at(number);
    entry.sent = entry.sent || !event.never_sent;
    retry_forward_later(ctx, number);
}

} // namespace jaydrift::decide::requests
