#include <jaydrift/decide/policy_change.hpp>

#include <jaydrift/core/record_error.hpp>
#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/membership.hpp>
#include <jaydrift/decide/policy.hpp>
#include <jaydrift/decide/policy_distribution.hpp>
#include <jaydrift/decide/policy_validation.hpp>

#include <algorithm>
#include <limits>
#include <string>
#include <utility>
#include <variant>

namespace jaydrift::decide::policy_change {

namespace {

constexpr std::string_view policy_key = "policy/current";

/// An accepted change is in force everywhere within this time; a change that
/// takes longer is reported as pending.
constexpr time_ms in_force_limit{5000};
constexpr time_ms retry_interval{300};
constexpr time_ms check_interval{50};

/// Tokens kept in the store, newest last. At 1,000 changes a day this covers
/// the repeats of more than an hour.
constexpr std::size_t max_tokens = 64;
constexpr std::size_t max_operations = 64;

using phase = policy_operation::phase;

std::string const& token_of(policy_operation const& operation)
{
    return std::visit(
        [](auto const& change) -> std::string const& { return change.token; },
        operation.change);
}

bool is_close(policy_operation const& operation)
{
    auto const* const change = std::get_if<set_zone>(&operation.change);
    return change != nullptr && !change->open;
}

std::optional<std::uint64_t> version_of_token(policy_record const& record,
                                              std::string_view token)
{
    for (auto const& applied : record.tokens)
    {
        if (applied.token == token)
        {
            return applied.version;
        }
    }
    return std::nullopt;
}

void answer(context& ctx, policy_operation& operation, call_status status,
            std::string reason)
{
    if (!operation.call)
    {
        return;
    }
    operator_reply reply;
    reply.status = status;
    reply.reason = std::move(reason);
    reply.version =
        operation.version != 0 ? operation.version : policy::version(ctx.state);
    ctx.emit(answer_operator{*operation.call, std::move(reply)});
    operation.call.reset();
}

void finish(context& ctx, policy_operation& operation, call_status status,
            std::string reason)
{
    answer(ctx, operation, status, std::move(reason));
    operation.done = true;
}

/// The record that a change creates, or why the change is not possible.
struct change_result
{
    std::optional<policy_record> next;
    call_status status = call_status::refused;
    std::string reason;
};

change_result conflict(policy_record const& record, std::uint64_t based_on)
{
    return {std::nullopt, call_status::conflict,
            "based on version " + std::to_string(based_on)
                + ", but the current version is "
                + std::to_string(record.current.version)};
}

change_result new_version(policy_record const& record, policy_document content,
                          std::string const& token)
{
    policy_record next;
    next.previous = record.current;
    next.current = std::move(content);
    next.current.version = record.current.version + 1;
    next.tokens = record.tokens;
    next.tokens.push_back({token, next.current.version});
    if (next.tokens.size() > max_tokens)
    {
        next.tokens.erase(next.tokens.begin());
    }
    return {std::move(next), call_status::ok, {}};
}

change_result next_record(policy_record const& record,
                          apply_policy const& request)
{
    if (request.based_on != record.current.version)
    {
        return conflict(record, request.based_on);
    }
    return new_version(record, request.policy, request.token);
}

change_result next_record(policy_record const& record,
                          undo_policy const& request)
{
    if (request.based_on != record.current.version)
    {
        return conflict(record, request.based_on);
    }
    if (!record.previous || record.previous->version == 0)
    {
        return {std::nullopt, call_status::refused,
                "there is no earlier version to return to"};
    }
    return new_version(record, *record.previous, request.token);
}

change_result next_record(policy_record const& record, set_zone const& request)
{
    auto content = record.current;
    auto const zone = std::find_if(
        content.zones.begin(), content.zones.end(),
        [&](auto const& entry) { return entry.name == request.zone; });
    if (zone == content.zones.end())
    {
        return {std::nullopt, call_status::refused,
                "zone: the policy does not name '" + request.zone + "'"};
    }
    zone->open = request.open;
    content.comment = (request.open ? "open " : "close ") + request.zone;
    return new_version(record, std::move(content), request.token);
}

void read(context& ctx, policy_operation& operation)
{
    operation.current_phase = phase::reading;
    operation.correlation = ctx.ask_store(
        reducer_module::policy, read_request{std::string(policy_key)});
}

void start_distribution(context& ctx, policy_operation& operation,
                        std::uint64_t version)
{
    operation.current_phase = phase::distributing;
    operation.correlation = 0;
    operation.version = version;
    ctx.add_timeline_event("policy_durable", {}, {}, std::to_string(version));
    policy_distribution::send_to_members(ctx);
}

/// Writes the next version with the revision that was read. Repeating the same
/// write is safe: the store applies it at most once.
void write(context& ctx, policy_operation& operation)
{
    auto& policy = ctx.state.policy;
    auto const result = std::visit(
        [&](auto const& request) {
            return next_record(policy.record, request);
        },
        operation.change);
    if (!result.next)
    {
        finish(ctx, operation, result.status, result.reason);
        return;
    }
    operation.current_phase = phase::writing;
    operation.written = *result.next;
    operation.replaced_revision = policy.revision;
    operation.correlation = ctx.ask_store(
        reducer_module::policy,
        put_request{std::string(policy_key), encode(operation.written),
                    policy.revision, token_of(operation), 0});
}

void on_read(context& ctx, policy_operation& operation,
             store_reply const& reply)
{
    auto const entry = std::find_if(
        reply.entries.begin(), reply.entries.end(),
        [](auto const& stored) { return stored.key == policy_key; });
    if (entry != reply.entries.end())
    {
        try
        {
            policy_distribution::adopt(ctx, decode_policy_record(entry->value),
                                       entry->revision);
        }
        catch (record_error const& error)
        {
            finish(ctx, operation, call_status::refused,
                   std::string("the stored policy is malformed: ")
                       + error.what());
            return;
        }
    }
    if (auto const version =
            version_of_token(ctx.state.policy.record, token_of(operation)))
    {
        start_distribution(ctx, operation, *version);
        return;
    }
    if (ctx.state.policy.revision != operation.replaced_revision)
    {
        // Copies of an earlier write can no longer be applied.
        operation.maybe_written = false;
    }
    write(ctx, operation);
}

void on_written(context& ctx, policy_operation& operation,
                store_reply const& reply)
{
    policy_distribution::adopt(ctx, operation.written, reply.revision);
    start_distribution(ctx, operation, operation.written.current.version);
}

void on_reply(context& ctx, policy_operation& operation,
              store_reply const& reply)
{
    operation.correlation = 0;
    if (reply.outcome == store_outcome::overloaded)
    {
        operation.retry_at = ctx.now + retry_interval;
        return;
    }
    if (operation.current_phase == phase::reading)
    {
        on_read(ctx, operation, reply);
        return;
    }
    if (reply.outcome == store_outcome::ok)
    {
        on_written(ctx, operation, reply);
        return;
    }
    // A conflict is either another operator's version or an earlier copy of
    // this write; the token in the stored record tells which.
    read(ctx, operation);
}

/// Tells whether nothing is left to do for a change: it is `done`, or it is
/// durable and no operator waits for its answer.
bool ended(policy_operation const& operation)
{
    bool const durable = operation.current_phase == phase::distributing;
    return operation.done || (durable && !operation.call);
}

void remove_ended(context& ctx)
{
    auto& operations = ctx.state.policy.operations;
    std::erase_if(operations, ended);
}

std::string joined_names(std::span<shard_id const> shards)
{
    std::string list;
    for (auto const& shard : shards)
    {
        list += (list.empty() ? "" : ", ") + to_string(shard);
    }
    return list;
}

void check_in_force(context& ctx, policy_operation& operation)
{
    auto const missing = policy_distribution::unacknowledged_shards(
        ctx.state, operation.version, ctx.now);
    if (missing.empty())
    {
        ctx.add_timeline_event("policy_in_force", {}, {},
                               std::to_string(operation.version));
        answer(ctx, operation, call_status::ok, {});
    }
    else if (ctx.now >= operation.started_at + in_force_limit)
    {
        answer(ctx, operation, call_status::pending,
               "durable, but not acknowledged by the owners of "
                   + joined_names(missing));
    }
}

/// Answers a change that is not durable within `in_force_limit`. It is refused
/// only if no copy of the write can still be applied.
void answer_unconfirmed(context& ctx, policy_operation& operation)
{
    bool const writing =
        operation.current_phase == phase::writing && operation.correlation != 0;
    if (writing || operation.maybe_written || is_close(operation))
    {
        answer(ctx, operation, call_status::pending,
               is_close(operation)
                   ? "the zone is closed where it is known, but the store has "
                     "not confirmed it"
                   : "the store has not confirmed the write; repeat the "
                     "command with the same token");
        return;
    }
    finish(ctx, operation, call_status::refused,
           "the store is not available; nothing was changed");
}

void advance(context& ctx, policy_operation& operation)
{
    if (operation.current_phase == phase::distributing)
    {
        check_in_force(ctx, operation);
        return;
    }
    if (operation.call && ctx.now >= operation.started_at + in_force_limit)
    {
        answer_unconfirmed(ctx, operation);
    }
    if (operation.correlation == 0 && ctx.now >= operation.retry_at
        && !ended(operation))
    {
        read(ctx, operation);
    }
}

/// Returns the first error of a request, or an empty string.
std::string request_error(context& ctx, operator_request const& request)
{
    if (auto const* const apply = std::get_if<apply_policy>(&request))
    {
        return policy_error(apply->policy, ctx.state.settings.zones);
    }
    if (auto const* const zone = std::get_if<set_zone>(&request))
    {
        auto const& zones = ctx.state.settings.zones;
        bool const known =
            std::any_of(zones.begin(), zones.end(), [&](auto const& entry) {
                return entry.zone == zone->zone;
            });
        return known ? std::string()
                     : "zone: unknown availability zone '" + zone->zone + "'";
    }
    return {};
}

/// Adds a change and reads the stored policy for it.
template<class Change>
void add_operation(context& ctx, std::optional<std::uint64_t> call,
                   Change const& change)
{
    policy_operation operation;
    operation.change = change;
    operation.call = call;
    operation.started_at = ctx.now;
    read(ctx, operation);
    ctx.state.policy.operations.push_back(std::move(operation));
}

/// Closes a zone on this daemon at once; heartbeats inform the others. A close
/// only restricts, so it need not be durable first.
void close_early(context& ctx, set_zone const& change)
{
    early_close close{change.zone, policy::version(ctx.state), change.token,
                      ctx.now};
    ctx.state.policy.early_closes.push_back(std::move(close));
    ctx.add_timeline_event("zone_closed_early", {}, {}, change.zone);
}

void refuse(context& ctx, std::optional<std::uint64_t> call, std::string reason)
{
    if (call)
    {
        operator_reply reply;
        reply.status = call_status::refused;
        reply.reason = std::move(reason);
        reply.version = policy::version(ctx.state);
        ctx.emit(answer_operator{*call, std::move(reply)});
    }
}

} // namespace

void start(context& ctx, std::optional<std::uint64_t> call,
           operator_request const& request)
{
    if (auto const error = request_error(ctx, request); !error.empty())
    {
        refuse(ctx, call, error);
        return;
    }
    if (ctx.state.policy.operations.size() >= max_operations)
    {
        refuse(ctx, call, "too many changes are in progress; try again");
        return;
    }
    if (auto const* const zone = std::get_if<set_zone>(&request))
    {
        if (call && !zone->open && !zone->token.empty())
        {
            close_early(ctx, *zone);
        }
        add_operation(ctx, call, *zone);
    }
    else if (auto const* const apply = std::get_if<apply_policy>(&request))
    {
        add_operation(ctx, call, *apply);
    }
    else if (auto const* const undo = std::get_if<undo_policy>(&request))
    {
        add_operation(ctx, call, *undo);
    }
}

void on_timer(context& ctx)
{
    auto& policy = ctx.state.policy;
    if (ctx.now < policy.next_operation_check)
    {
        return;
    }
    policy.next_operation_check = ctx.now + check_interval;
    for (auto& operation : policy.operations)
    {
        advance(ctx, operation);
    }
    remove_ended(ctx);
}

bool on_store_replied(context& ctx, store_replied const& event)
{
    for (auto& operation : ctx.state.policy.operations)
    {
        if (operation.correlation == event.correlation)
        {
            on_reply(ctx, operation, event.reply);
            remove_ended(ctx);
            return true;
        }
    }
    return false;
}

bool on_store_failed(context& ctx, store_failed const& event)
{
    for (auto& operation : ctx.state.policy.operations)
    {
        if (operation.correlation == event.correlation)
        {
            operation.correlation = 0;
            operation.maybe_written |=
                operation.current_phase == phase::writing && !event.never_sent;
            operation.retry_at = ctx.now + retry_interval;
            return true;
        }
    }
    return false;
}

time_ms next_timer(daemon_state const& state)
{
    return state.policy.operations.empty()
               ? time_ms(std::numeric_limits<std::int64_t>::max())
               : state.policy.next_operation_check;
}

} // namespace jaydrift::decide::policy_change
