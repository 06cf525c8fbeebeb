#include <jaydrift/decide/policy.hpp>

#include <jaydrift/core/record_error.hpp>
#include <jaydrift/core/record_reader.hpp>
#include <jaydrift/core/record_writer.hpp>
#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/membership.hpp>
#include <jaydrift/decide/ownership.hpp>
#include <jaydrift/decide/policy_change.hpp>
#include <jaydrift/decide/policy_distribution.hpp>

#include <algorithm>
#include <limits>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>

namespace jaydrift::decide::policy {

namespace {

/// Share of a class that the policy does not name.
constexpr std::uint32_t default_share_percent = 100;

/// Another daemon writes an operator's close that it learned of from a
/// heartbeat if the close is still not durable after this time.
constexpr time_ms orphaned_close_delay{3000};

/// Limits the memory that heartbeats of a faulty peer can use here.
constexpr std::size_t max_early_closes = 64;

early_close decode_early_close(std::string_view text, time_ms now)
{
    record_reader reader(text);
    early_close close;
    close.zone = std::string(reader.text());
    close.version = reader.unsigned_number();
    close.token = std::string(reader.text());
    close.heard_at = now;
    return close;
}

bool being_written(policy_state const& state, std::string_view token)
{
    return std::any_of(state.operations.begin(), state.operations.end(),
                       [&](policy_operation const& operation) {
                           auto const* const change =
                               std::get_if<set_zone>(&operation.change);
                           return change != nullptr && change->token == token;
                       });
}

/// Writes a close that is still not durable `orphaned_close_delay` after this
/// daemon learned of it, unless this daemon is writing it already.
void write_orphaned_closes(context& ctx)
{
    auto const& state = ctx.state.policy;
    for (auto const& close : state.early_closes)
    {
        if (ctx.now >= close.heard_at + orphaned_close_delay
            && !being_written(state, close.token)
            && membership::store_available(ctx.state, ctx.now))
        {
            policy_change::start(ctx, std::nullopt,
                                 set_zone{close.zone, false, close.token});
            return;
        }
    }
}

operator_reply policy_reply(daemon_state const& state)
{
    operator_reply reply;
    reply.policy = current(state);
    reply.version = reply.policy.version;
    return reply;
}

operator_reply status_reply(daemon_state const& state, time_ms now)
{
    operator_reply reply;
    reply.version = version(state);
    reply.members = membership::status(state, now);
    reply.shards = ownership::status(state, now);
    return reply;
}

} // namespace

void on_timer(context& ctx)
{
    policy_change::on_timer(ctx);
    policy_distribution::on_timer(ctx);
    write_orphaned_closes(ctx);
}

void on_operator_called(context& ctx, operator_called const& call)
{
    if (std::holds_alternative<show_policy>(call.request))
    {
        ctx.emit(answer_operator{call.call, policy_reply(ctx.state)});
        return;
    }
    if (std::holds_alternative<show_status>(call.request))
    {
        ctx.emit(answer_operator{call.call, status_reply(ctx.state, ctx.now)});
        return;
    }
    if (std::holds_alternative<show_timeline>(call.request))
    {
        // The process answers this call itself: the reducer keeps no events.
        ctx.emit(answer_operator{call.call, operator_reply{}});
        return;
    }
    policy_change::start(ctx, call.call, call.request);
}

void on_policy_update(context& ctx, peer_called const& call,
                      policy_update const& update)
{
    bool const newer = update.policy.version > version(ctx.state);
    policy_record record;
    record.current = update.policy;
    if (newer)
    {
        // The revision stays unknown; a change by this daemon reads it first.
        policy_distribution::adopt(ctx, std::move(record), 0);
    }
    if (newer && update.relay)
    {
        policy_distribution::send_to_region(ctx);
    }
    ctx.emit(answer_peer{call.call, peer_acknowledgement{}});
}

void on_store_replied(context& ctx, store_replied const& event)
{
    if (!policy_change::on_store_replied(ctx, event))
    {
        policy_distribution::on_store_replied(ctx, event);
    }
}

void on_store_failed(context& ctx, store_failed const& event)
{
    if (!policy_change::on_store_failed(ctx, event))
    {
        policy_distribution::on_store_failed(ctx, event);
    }
}

void on_peer_replied(context&, peer_replied const&) {}

void on_peer_failed(context& ctx, peer_failed const& event)
{
    // The next distribution then sends the version again, without waiting for
    // the resend interval.
    ctx.state.policy.sent_at.erase(event.daemon);
}

void on_early_closed(context& ctx, std::span<std::string const> zones)
{
    auto& state = ctx.state.policy;
    for (auto const& text : zones)
    {
        early_close close;
        try
        {
            close = decode_early_close(text, ctx.now);
        }
        catch (record_error const&)
        {
            continue;
        }
        bool const known =
            std::any_of(state.early_closes.begin(), state.early_closes.end(),
                        [&](early_close const& entry) {
                            return entry.token == close.token;
                        });
        if (known || close.version < version(ctx.state)
            || state.early_closes.size() >= max_early_closes)
        {
            continue;
        }
        ctx.log(log_level::warning, "policy",
                "Zone " + close.zone
                    + " is closed early, as an operator asked: the store does "
                      "not have the new policy yet.");
        ctx.add_timeline_event("zone_closed_early", {}, {}, close.zone);
        state.early_closes.push_back(std::move(close));
    }
}

std::uint64_t version(daemon_state const& state)
{
    return state.policy.record.current.version;
}

policy_document const& current(daemon_state const& state)
{
    return state.policy.record.current;
}

bool zone_open(daemon_state const& state, std::string_view zone)
{
    auto const& zones = current(state).zones;
    auto const found =
        std::find_if(zones.begin(), zones.end(),
                     [&](auto const& entry) { return entry.name == zone; });
    auto const& closes = state.policy.early_closes;
    bool const closed_early =
        std::any_of(closes.begin(), closes.end(),
                    [&](auto const& entry) { return entry.zone == zone; });
    return found != zones.end() && found->open && !closed_early;
}

kind_policy const* find_kind(daemon_state const& state, std::string_view kind)
{
    auto const& kinds = current(state).kinds;
    auto const found =
        std::find_if(kinds.begin(), kinds.end(),
                     [&](auto const& entry) { return entry.kind == kind; });
    return found == kinds.end() ? nullptr : &*found;
}

std::uint32_t share(daemon_state const& state, task_class priority)
{
    auto const& shares = current(state).shares;
    auto const found =
        std::find_if(shares.begin(), shares.end(), [&](auto const& entry) {
            return entry.priority == priority;
        });
    return found == shares.end() ? default_share_percent : found->percent;
}

std::vector<std::string> early_closed(daemon_state const& state)
{
    std::vector<std::string> result;
    for (auto const& close : state.policy.early_closes)
    {
        result.push_back(record_writer()
                             .text(close.zone)
                             .number(close.version)
                             .text(close.token)
                             .take());
    }
    return result;
}

time_ms next_timer(daemon_state const& state)
{
    return std::min(policy_change::next_timer(state),
                    policy_distribution::next_timer(state));
}

} // namespace jaydrift::decide::policy
