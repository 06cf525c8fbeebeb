#include <jaydrift/schedule/silent_calls.hpp>

#include <jaydrift/schedule/context.hpp>
#include <jaydrift/schedule/store_replied.hpp>
#include <jaydrift/schedule/store_session.hpp>

#include <algorithm>
#include <string>
#include <string_view>

namespace jaydrift::schedule::silent_calls {

namespace {

/// Silence limit of a call whose predecessors were answered; the store normally
/// answers within milliseconds.
constexpr time_ms first_silence_limit{500};

/// The limit doubles with each call that got no byte of a reply while the store
/// answered others, from the second one in a row on. The first one may have
/// been swallowed in an outage, and says nothing about the next one.
constexpr std::uint32_t max_doublings = 3;

/// Time between two questions whether the store answers, and their time limit.
constexpr time_ms probe_interval{500};

/// Returns what a call is for, for the log.
std::string_view name_of(store_purpose purpose)
{
    switch (purpose)
    {
    case store_purpose::read_operators:
        return "read the operators";
    case store_purpose::watch_operators:
        return "watch the operators";
    case store_purpose::read_coordination:
        return "read the coordination";
    case store_purpose::watch_coordination:
        return "watch the coordination";
    case store_purpose::read_workers:
    case store_purpose::count_workers:
        return "read the workers";
    case store_purpose::watch_workers:
        return "watch the workers";
    case store_purpose::read_submissions:
        return "read the submissions";
    case store_purpose::read_guest:
        return "read a submission of another shard";
    case store_purpose::verify_owner:
        return "read the owner record";
    case store_purpose::read_serial:
        return "read the write serial";
    default:
        return "write";
    }
}

bool is_overdue(pending_store_call const& call, time_ms now)
{
    return call.purpose != store_purpose::probe
           && now >= call.reply_due_at + call.silence_limit;
}

/// Ends the call unless its reply is on its way, if the store has answered
/// another one that was sent after this reply was due.
void end_if_silent(context& ctx, std::uint64_t number, pending_store_call& call)
{
    auto const answered = ctx.state.store.answered_sent_at;
    if (!answered || *answered < call.reply_due_at
        || call.last_evidence == answered)
    {
        return;
    }
    if (!call.last_evidence)
    {
        ctx.count("overdue_store_calls_total", "");
        ctx.log(log_level::warning, "store",
                "the call to " + std::string(name_of(call.purpose))
                    + " has no complete reply "
                    + std::to_string((ctx.now - call.sent_at).count())
                    + " ms after its sending, but a call sent "
                    + std::to_string((*answered - call.sent_at).count())
                    + " ms after it has");
    }
    call.last_evidence = answered;
    ctx.emit(end_silent_call{
        number, std::max(call.silence_limit, ctx.now - *answered)});
}

} // namespace

time_ms silence_limit(daemon_state const& state, store_purpose purpose,
                      std::uint32_t shard)
{
    auto const found = state.store.silent_calls.find({purpose, shard});
    auto const silent =
        found == state.store.silent_calls.end() ? 0U : found->second;
    auto const doublings = std::min(std::max(silent, 1U) - 1, max_doublings);
    return first_silence_limit * (std::int64_t{1} << doublings);
}

void ended(context& ctx, pending_store_call const& call,
           store_replied const& reply)
{
    auto& silent = ctx.state.store.silent_calls;
    if (reply.status != store_status::lost || reply.progress.header_after)
    {
        silent.erase({call.purpose, call.shard});
    }
    else if (call.last_evidence)
    {
        ++silent[{call.purpose, call.shard}];
    }
}

void tick(context& ctx)
{
    auto& session = ctx.state.store;
    auto any_overdue = false;
    for (auto& [number, call] : session.calls)
    {
        if (is_overdue(call, ctx.now))
        {
            any_overdue = true;
            end_if_silent(ctx, number, call);
        }
    }
    if (any_overdue && ctx.now >= session.next_probe)
    {
        probe(ctx);
    }
}

void probe(context& ctx)
{
    auto& session = ctx.state.store;
    session.next_probe = ctx.now + probe_interval;
    store_session::call(ctx, store_purpose::probe, read_revision{},
                        probe_interval);
}

} // namespace jaydrift::schedule::silent_calls
