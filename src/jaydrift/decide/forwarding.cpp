#include <jaydrift/decide/forward_steps.hpp>

#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/membership.hpp>
#include <jaydrift/decide/ownership.hpp>
#include <jaydrift/decide/request_steps.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace jaydrift::decide::requests {

namespace {

constexpr std::int64_t first_backoff_ms = 20;
constexpr std::int64_t max_backoff_ms = 400;

/// `first_backoff_ms` doubled this often is above `max_backoff_ms`.
constexpr std::uint32_t max_doublings = 5;

/// Time for the owner's reply to arrive here before the deadline.
constexpr time_ms answer_margin{50};

/// Limits the payloads and calls that wait for owners.
constexpr std::size_t max_forwards = 4000;

/// Returns a random delay between half the backoff and all of it.
time_ms backoff(context& ctx, std::uint32_t attempts)
{
    auto const doublings = std::min<std::uint32_t>(attempts, max_doublings);
    auto const longest =
        std::min(first_backoff_ms << doublings, max_backoff_ms);
    auto const jitter =
        ctx.state.random.below(static_cast<std::uint64_t>(longest / 2 + 1));
    return time_ms(longest / 2 + static_cast<std::int64_t>(jitter));
}

/// Returns the time limit that is passed to the owner: what is left until the
/// deadline, less `answer_margin` or a tenth, whichever is shorter.
time_ms owner_time_limit(context const& ctx, forward_entry const& entry)
{
    auto const left = entry.waiter.deadline - ctx.now;
    return left - std::min(answer_margin, time_ms(left.count() / 10));
}

peer_request peer_message(context const& ctx, forward_entry const& entry)
{
    if (entry.purpose == forward_purpose::check)
    {
        return query_request{entry.request.id};
    }
    auto request = entry.request;
    request.time_limit = owner_time_limit(ctx, entry);
    return execute_request{std::move(request),
                           entry.purpose == forward_purpose::delegate};
}

std::string_view event_name(forward_purpose purpose)
{
    switch (purpose)
    {
    case forward_purpose::execute:
        return "request_forwarded";
    case forward_purpose::delegate:
        return "request_delegated";
    case forward_purpose::check:
        break;
    }
    return "request_checked";
}

void send(context& ctx, std::uint64_t number, forward_entry& entry,
          member_info const& owner)
{
    entry.correlation = ctx.next_correlation(reducer_module::requests);
    entry.daemon = owner.daemon;
    ++entry.attempts;
    ctx.state.requests.forward_of_call[entry.correlation] = number;
    ctx.add_timeline_event(event_name(entry.purpose), entry.request.id, {},
                           owner.daemon);
    auto const timeout =
        entry.waiter.deadline - ctx.now + ctx.state.settings.peer_timeout;
    ctx.emit(send_peer{owner.daemon, owner.address, entry.correlation, timeout,
                       peer_message(ctx, entry)});
    schedule_forward(ctx.state, number, entry, ctx.now + owner_check_interval);
}

/// A delegated request is sent only while this daemon's authority for the home
/// shard is valid, so that none is sent after a successor asked about it.
bool may_send(context const& ctx, forward_entry const& entry)
{
    auto const* record = std::get_if<waiting_record>(&entry.waiter.who);
    return record == nullptr
           || ownership::serving(ctx.state, record->key.shard, ctx.now);
}

void execute_locally(context& ctx, std::uint64_t number)
{
    auto entry = take_forward(ctx.state, number);
    if (entry.purpose == forward_purpose::check)
    {
        auto const reply = answer_check(ctx, {entry.shard, entry.request.id});
        on_checked(ctx, std::get<waiting_record>(entry.waiter.who).key, reply);
        return;
    }
    entry.request.time_limit = entry.waiter.deadline - ctx.now;
    execute_here(ctx, entry.shard, std::move(entry.request),
                 entry.purpose == forward_purpose::delegate,
                 std::move(entry.waiter));
}

} // namespace

void attempt_forward(context& ctx, std::uint64_t number)
{
    auto& entry = ctx.state.requests.forwards.at(number);
    if (!may_send(ctx, entry))
    {
        schedule_forward(ctx.state, number, entry,
                         ctx.now + owner_check_interval);
        return;
    }
    if (ownership::serving(ctx.state, entry.shard, ctx.now))
    {
        execute_locally(ctx, number);
        return;
    }
    auto const owner = ownership::owner_of(ctx.state, entry.shard);
    auto const other_daemon_owns =
        owner && *owner != ctx.state.settings.self.daemon;
    if (other_daemon_owns
        && std::holds_alternative<waiting_peer>(entry.waiter.who))
    {
        // The daemon that sent the request finds the owner itself. If this
        // daemon forwarded it again, it could be forwarded for ever.
        auto const refused = take_forward(ctx.state, number);
        ctx.emit(answer_peer{std::get<waiting_peer>(refused.waiter.who).call,
                             peer_acknowledgement{false}});
        return;
    }
    auto const member =
        other_daemon_owns ? membership::find(ctx.state, *owner) : std::nullopt;
    if (!member)
    {
        schedule_forward(ctx.state, number, entry,
                         ctx.now + owner_check_interval);
        return;
    }
    send(ctx, number, entry, *member);
}

void retry_forward_later(context& ctx, std::uint64_t number)
{
    auto& entry = ctx.state.requests.forwards.at(number);
    close_call(ctx.state, entry);
    schedule_forward(ctx.state, number, entry,
                     ctx.now + backoff(ctx, entry.attempts));
}

std::uint64_t forward(context& ctx, urgent_request request,
                      shard_id const& shard, forward_purpose purpose,
                      request_waiter waiter)
{
    auto& requests = ctx.state.requests;
    if (requests.forwards.size() >= max_forwards)
    {
        send_result(ctx, waiter, request.id,
                    unknown("too many requests wait for their owner"));
        return 0;
    }
    auto const number = ++requests.last_forward;
    auto& entry = requests.forwards[number];
    requests.payload_bytes += request.payload.size();
    entry.request = std::move(request);
    entry.shard = shard;
    entry.purpose = purpose;
    entry.waiter = std::move(waiter);
    entry.due = entry.waiter.deadline;
    requests.forwards_due.emplace(entry.due, number);
    attempt_forward(ctx, number);
    return requests.forwards.contains(number) ? number : 0;
}

} // namespace jaydrift::decide::requests
