#include <jaydrift/schedule/silent_calls.hpp>

#include <jaydrift/schedule/context.hpp>
#include <jaydrift/schedule/store_session.hpp>

#include <algorithm>
#include <string>

namespace jaydrift::schedule::silent_calls {

namespace {

/// A reply is overdue if it has not ended this long after the store should have
/// sent it; the store normally answers within milliseconds.
constexpr time_ms overdue_after{500};

/// Time between two questions whether the store answers, and their time limit.
constexpr time_ms probe_interval{500};

bool is_overdue(pending_store_call const& call, time_ms now)
{
    return call.purpose != store_purpose::probe
           && now >= call.reply_due_at + overdue_after;
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
                "call " + std::to_string(number) + " has no complete reply "
                    + std::to_string((ctx.now - call.sent_at).count())
                    + " ms after its sending, but one that was sent "
                    + std::to_string((*answered - call.sent_at).count())
                    + " ms after it has");
    }
    call.last_evidence = answered;
    ctx.emit(
        end_silent_call{number, std::max(overdue_after, ctx.now - *answered)});
}

} // namespace

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
