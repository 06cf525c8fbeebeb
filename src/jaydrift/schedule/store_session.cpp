#include <jaydrift/schedule/store_session.hpp>

#include <jaydrift/schedule/area_watch.hpp>
#include <jaydrift/schedule/event.hpp>
#include <jaydrift/schedule/guest_submissions.hpp>
#include <jaydrift/schedule/layout.hpp>
#include <jaydrift/schedule/ownership.hpp>
#include <jaydrift/schedule/record_log.hpp>
#include <jaydrift/schedule/recovery.hpp>
#include <jaydrift/schedule/roster.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/silent_calls.hpp>
#include <jaydrift/schedule/task_assignments.hpp>
#include <jaydrift/schedule/task_transfers.hpp>
#include <jaydrift/schedule/worker_transfers.hpp>

#include <algorithm>
#include <span>
#include <utility>

namespace jaydrift::schedule::store_session {

namespace {

constexpr time_ms registration_time_limit{1000};

/// Time between a registration that got no reply and the next one.
constexpr time_ms registration_pause{500};

/// The store counts as reachable for this time after its last reply. A watch
/// without changes is answered every `watch_wait`.
constexpr time_ms reachable_for{1800};

/// A time limit doubles with each failure, but no more than this many times.
constexpr std::uint32_t max_doublings = 2;

/// Writes the member record of this daemon unless the store has it.
void register_member(context& ctx)
{
    auto& session = ctx.state.store;
    if (session.registered || ctx.now < session.next_registration
        || ctx.state.stopping_since)
    {
        return;
    }
    session.next_registration =
        ctx.now + registration_time_limit + registration_pause;
    store_transaction write;
    write.puts.emplace_back(
        record_key{record_kind::member, ctx.state.options.node},
        member_record{ctx.state.options.node, ctx.state.options.address,
                      ctx.state.options.cpu_share, ctx.state.options.region,
                      true, true});
    call(ctx, store_purpose::register_member, std::move(write),
         registration_time_limit);
}

/// Records whether the store answers. A failed call shows an outage only if the
/// store has not answered another one since it was sent; otherwise just one
/// connection may be broken.
void update_failing_since(context& ctx, store_replied const& reply,
                          time_ms sent_at)
{
    auto& session = ctx.state.store;
    if (reply.status == store_status::lost
        || reply.status == store_status::refused)
    {
        if (!session.failing_since && sent_at >= session.last_success)
        {
            session.failing_since = ctx.now;
            ctx.log(log_level::warning, "store",
                    "unavailable, a call got no answer or was refused");
        }
        return;
    }
    session.last_success = ctx.now;
    session.answered_sent_at =
        std::max(session.answered_sent_at.value_or(sent_at), sent_at);
    if (session.failing_since)
    {
        ctx.log(log_level::info, "store",
                "available again after "
                    + std::to_string((ctx.now - *session.failing_since).count())
                    + " ms");
        session.failing_since.reset();
    }
}

/// Assigns a number to the call and emits it.
std::uint64_t emit_call(context& ctx, store_purpose purpose,
                        std::uint32_t shard, request what, time_ms time_limit)
{
    auto const number = ctx.state.store.next_call++;
    auto const* const watch = std::get_if<watch_area>(&what);
    auto const reply_due_at = ctx.now + (watch ? watch->wait : time_ms(0));
    ctx.state.store.calls.emplace(
        number, pending_store_call{
                    purpose,
                    shard,
                    ctx.now,
                    reply_due_at,
                    silent_calls::silence_limit(ctx.state, purpose, shard),
                    {}});
    ctx.emit(store_call{number, std::move(what), time_limit});
    return number;
}

/// Handles the end of a call that concerns one shard.
void shard_replied(shard_context ctx, store_purpose purpose,
                   store_replied const& reply)
{
    switch (purpose)
    {
    case store_purpose::read_submissions:
        return recovery::submissions_read(ctx, reply);
    case store_purpose::read_assignments:
        return recovery::assignments_read(ctx, reply);
    case store_purpose::read_guest:
        return guest_submissions::replied(ctx, reply);
    case store_purpose::assign_worker:
        return worker_transfers::replied(ctx, reply);
    case store_purpose::assign_tasks:
        return task_transfers::replied(ctx, reply);
    case store_purpose::remove_task_assignments:
        return task_assignments::removal_replied(ctx, reply);
    case store_purpose::claim:
        return ownership::claim_replied(ctx, reply);
    case store_purpose::verify_owner:
        return ownership::verify_replied(ctx, reply);
    case store_purpose::read_serial:
        return ownership::serial_replied(ctx, reply);
    case store_purpose::write_roster:
        return roster::replied(ctx, reply);
    case store_purpose::append:
        return record_log::replied(ctx, reply);
    default:
        return;
    }
}

} // namespace

std::uint64_t call(context& ctx, store_purpose purpose, request what,
                   time_ms time_limit)
{
    return emit_call(ctx, purpose, 0, std::move(what), time_limit);
}

std::uint64_t call(shard_context& ctx, store_purpose purpose, request what,
                   time_ms time_limit)
{
    return emit_call(ctx, purpose, ctx.shard.number, std::move(what),
                     time_limit);
}

time_ms extended_time_limit(time_ms limit, std::uint32_t failures)
{
    return limit * (std::int64_t{1} << std::min(failures, max_doublings));
}

void replied(context& ctx, store_replied const& reply)
{
    auto const found = ctx.state.store.calls.find(reply.call);
    if (found == ctx.state.store.calls.end())
    {
        return;
    }
    auto const call = found->second;
    ctx.state.store.calls.erase(found);
    update_failing_since(ctx, reply, call.sent_at);
    silent_calls::ended(ctx, call, reply);
    ctx.state.store.highest_revision =
        std::max(ctx.state.store.highest_revision, reply.revision);
    if (reply.unreadable_items > 0)
    {
        ctx.log(log_level::warning, "store",
                std::to_string(reply.unreadable_items)
                    + " records of a reply have no readable key or revision");
        ctx.count("unreadable_records_total", "item");
    }
    switch (call.purpose)
    {
    case store_purpose::read_operators:
    case store_purpose::watch_operators:
    case store_purpose::read_coordination:
    case store_purpose::watch_coordination:
    case store_purpose::read_workers:
    case store_purpose::watch_workers:
        return area_watch::replied(ctx, call.purpose, reply);
    case store_purpose::count_workers:
        return layout::workers_counted(ctx, reply);
    case store_purpose::register_member:
        if (reply.status == store_status::ok)
        {
            ctx.state.store.registered = true;
        }
        return;
    case store_purpose::probe:
        // That the store has answered is all that was asked.
    case store_purpose::remove_member:
    case store_purpose::write_layout:
    case store_purpose::remove_assignment:
        // The watch of the coordination area reports what was written.
        return;
    case store_purpose::read_submissions:
    case store_purpose::read_assignments:
    case store_purpose::read_guest:
    case store_purpose::assign_worker:
    case store_purpose::assign_tasks:
    case store_purpose::remove_task_assignments:
    case store_purpose::claim:
    case store_purpose::verify_owner:
    case store_purpose::read_serial:
    case store_purpose::write_roster:
    case store_purpose::append:
        return shard_replied({ctx, ctx.state.shards[call.shard]}, call.purpose,
                             reply);
    }
}

void tick(context& ctx)
{
    silent_calls::tick(ctx);
    area_watch::tick(ctx);
    layout::tick(ctx);
    register_member(ctx);
}

bool reachable(daemon_state const& state, time_ms now)
{
    return !state.store.failing_since
           && now - state.store.last_success < reachable_for;
}

} // namespace jaydrift::schedule::store_session
