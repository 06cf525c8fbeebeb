#include <jaydrift/decide/requests.hpp>

#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/membership.hpp>
#include <jaydrift/decide/ownership.hpp>

#include "request_steps.hpp"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

namespace jaydrift::decide::requests {

namespace {

/// How often an open call is checked against a change of the owner.
constexpr time_ms owner_check_interval{250};
constexpr std::int64_t first_backoff_ms = 20;
constexpr std::int64_t max_backoff_ms = 400;

/// Time left for the owner's answer to come back before the patience ends.
constexpr time_ms answer_margin{50};

/// Bounds the payloads and calls that wait for owners.
constexpr std::size_t max_forwards = 4000;

time_ms backoff(context& step, std::uint32_t attempts)
{
    auto const doublings = std::min<std::uint32_t>(attempts, 5);
    auto const longest =
        std::min(first_backoff_ms << doublings, max_backoff_ms);
    auto const jitter =
        step.state.random.below(static_cast<std::uint64_t>(longest / 2 + 1));
    return time_ms(longest / 2 + static_cast<std::int64_t>(jitter));
}

void schedule(daemon_state& state, std::uint64_t number, forward_entry& entry,
              time_ms due)
{
    auto& requests = state.requests;
    requests.forwards_due.erase({entry.due, number});
    entry.due = std::min(due, entry.waiter.deadline);
    requests.forwards_due.emplace(entry.due, number);
}

void close_call(daemon_state& state, forward_entry& entry)
{
    state.requests.forward_of_call.erase(entry.correlation);
    entry.correlation = 0;
}

/// Removes a forward from the table and returns it.
forward_entry take(daemon_state& state, std::uint64_t number)
{
    auto& requests = state.requests;
    auto const found = requests.forwards.find(number);
    auto entry = std::move(found->second);
    close_call(state, entry);
    requests.forwards_due.erase({entry.due, number});
    requests.payload_bytes -= entry.request.payload.size();
    requests.forwards.erase(found);
    return entry;
}

/// A caller's first attempt may have gone through another daemon, so a request
/// is known to be new only if it was issued after its arrival here, with the
/// clock skew taken into account.
bool known_fresh(daemon_state const& state, forward_entry const& entry)
{
    auto const& issued = entry.request.issued_at;
    return issued
           && *issued >= entry.waiter.arrived + state.settings.clock_skew;
}

void give_up(context& step, std::uint64_t number)
{
    auto const sent = forward_sent(step.state, number);
    auto const entry = take(step.state, number);
    auto const result = !sent && known_fresh(step.state, entry)
                            ? not_run("no owner of the request was reached")
                            : unknown("the owner of the request did not answer "
                                      "before the deadline");
    step.record("request_unknown", entry.request.id, {}, result.reason);
    send_result(step, entry.waiter, entry.request.id, result);
}

/// Returns the patience that is left for the owner.
time_ms patience_left(context const& step, forward_entry const& entry)
{
    auto const left = entry.waiter.deadline - step.now;
    auto const margin = std::min(answer_margin, time_ms(left.count() / 10));
    return left - margin;
}

void send(context& step, std::uint64_t number, forward_entry& entry,
          member_info const& owner)
{
    auto request = entry.request;
    request.patience = patience_left(step, entry);
    entry.correlation = step.next_correlation(part::requests);
    entry.daemon = owner.daemon;
    ++entry.attempts;
    step.state.requests.forward_of_call[entry.correlation] = number;
    step.record(entry.delegated ? "request_delegated" : "request_forwarded",
                request.id, {}, owner.daemon);
    step.emit(send_peer{owner.daemon, owner.address, entry.correlation,
                        entry.waiter.deadline - step.now
                            + step.state.settings.peer_timeout,
                        execute_request{std::move(request), entry.delegated}});
    schedule(step.state, number, entry, step.now + owner_check_interval);
}

void execute_locally(context& step, std::uint64_t number)
{
    auto entry = take(step.state, number);
    entry.request.patience = entry.waiter.deadline - step.now;
    execute_here(step, entry.shard, std::move(entry.request), entry.delegated,
                 std::move(entry.waiter));
}

/// Makes an attempt to pass a request to the current owner of its shard.
void attempt(context& step, std::uint64_t number)
{
    auto& entry = step.state.requests.forwards.at(number);
    auto const owner = ownership::owner_of(step.state, entry.shard);
    auto const& self = step.state.settings.self.daemon;
    if (ownership::serving(step.state, entry.shard, step.now))
    {
        execute_locally(step, number);
        return;
    }
    if (owner && *owner != self
        && std::holds_alternative<waiting_peer>(entry.waiter.who))
    {
        // The caller's daemon finds the owner itself; passing it on from here
        // could go round in circles.
        auto const refused = take(step.state, number);
        step.emit(answer_peer{std::get<waiting_peer>(refused.waiter.who).call,
                              peer_acknowledgement{false}});
        return;
    }
    auto const member = owner && *owner != self
                            ? membership::find(step.state, *owner)
                            : std::nullopt;
    if (!member)
    {
        schedule(step.state, number, entry,
                 step.now + backoff(step, entry.attempts));
        return;
    }
    send(step, number, entry, *member);
}

void retry_later(context& step, std::uint64_t number)
{
    auto& entry = step.state.requests.forwards.at(number);
    close_call(step.state, entry);
    schedule(step.state, number, entry,
             step.now + backoff(step, entry.attempts));
}

/// A new owner joins or refuses the ID by its own records, so an open call to
/// an earlier owner need not be awaited.
void check(context& step, std::uint64_t number)
{
    auto& entry = step.state.requests.forwards.at(number);
    if (step.now >= entry.waiter.deadline)
    {
        give_up(step, number);
        return;
    }
    if (entry.correlation == 0)
    {
        attempt(step, number);
        return;
    }
    auto const owner = ownership::owner_of(step.state, entry.shard);
    if (!owner || *owner == entry.daemon)
    {
        schedule(step.state, number, entry, step.now + owner_check_interval);
        return;
    }
    entry.sent = true;
    close_call(step.state, entry);
    attempt(step, number);
}

} // namespace

std::uint64_t forward(context& step, urgent_request request,
                      shard_id const& shard, bool delegated,
                      request_waiter waiter)
{
    auto& requests = step.state.requests;
    if (requests.forwards.size() >= max_forwards)
    {
        send_result(step, waiter, request.id,
                    unknown("too many requests wait for their owner"));
        return 0;
    }
    auto const number = ++requests.last_forward;
    auto& entry = requests.forwards[number];
    requests.payload_bytes += request.payload.size();
    entry.request = std::move(request);
    entry.shard = shard;
    entry.delegated = delegated;
    entry.waiter = std::move(waiter);
    entry.due = entry.waiter.deadline;
    requests.forwards_due.emplace(entry.due, number);
    attempt(step, number);
    return requests.forwards.contains(number) ? number : 0;
}

void advance_forwards(context& step)
{
    auto& due = step.state.requests.forwards_due;
    std::vector<std::uint64_t> numbers;
    for (auto const& [at, number] : due)
    {
        if (at > step.now)
        {
            break;
        }
        numbers.push_back(number);
    }
    for (auto const number : numbers)
    {
        if (step.state.requests.forwards.contains(number))
        {
            check(step, number);
        }
    }
}

void retry_forwards(context& step, shard_id const& shard)
{
    std::vector<std::uint64_t> numbers;
    for (auto const& [number, entry] : step.state.requests.forwards)
    {
        if (entry.shard == shard)
        {
            numbers.push_back(number);
        }
    }
    for (auto const number : numbers)
    {
        if (step.state.requests.forwards.contains(number))
        {
            check(step, number);
        }
    }
}

bool forward_sent(daemon_state const& state, std::uint64_t number)
{
    auto const found = state.requests.forwards.find(number);
    return found != state.requests.forwards.end()
           && (found->second.sent || found->second.correlation != 0);
}

void cancel_forward(daemon_state& state, std::uint64_t number)
{
    if (state.requests.forwards.contains(number))
    {
        take(state, number);
    }
}

void on_peer_replied(context& step, peer_replied const& event)
{
    auto const& calls = step.state.requests.forward_of_call;
    auto const found = calls.find(event.correlation);
    if (found == calls.end())
    {
        step.record("late_answer_dropped", {}, {}, event.daemon);
        return;
    }
    auto const number = found->second;
    if (auto const* result = std::get_if<request_result>(&event.reply))
    {
        auto const entry = take(step.state, number);
        send_result(step, entry.waiter, entry.request.id, *result);
        return;
    }
    // The daemon does not own the shard and did nothing.
    retry_later(step, number);
}

void on_peer_failed(context& step, peer_failed const& event)
{
    auto const& calls = step.state.requests.forward_of_call;
    auto const found = calls.find(event.correlation);
    if (found == calls.end())
    {
        return;
    }
    auto const number = found->second;
    auto& entry = step.state.requests.forwards.at(number);
    entry.sent = entry.sent || !event.never_sent;
    retry_later(step, number);
}

} // namespace jaydrift::decide::requests
