#include <jaydrift/schedule/store_session.hpp>

#include <jaydrift/schedule/areas.hpp>
#include <jaydrift/schedule/event.hpp>
#include <jaydrift/schedule/layout.hpp>
#include <jaydrift/schedule/ownership.hpp>
#include <jaydrift/schedule/record_log.hpp>
#include <jaydrift/schedule/recovery.hpp>
#include <jaydrift/schedule/roster.hpp>
#include <jaydrift/schedule/shard_context.hpp>

#include <algorithm>
#include <span>
#include <utility>

namespace jaydrift::schedule::store_session {

namespace {

/// The store answers a watch without changes after this time. If no reply
/// comes within the margin either, the connection is taken to be broken.
constexpr time_ms watch_wait{1000};
constexpr time_ms watch_margin{700};

/// Time between a reply with changes and the next watch. It gathers changes,
/// since each reply costs a call to the store: workers write all the time, and
/// hundreds of daemons register at once. A new owner is known without this
/// delay from its heartbeats.
constexpr time_ms watch_pause{200};
constexpr time_ms read_time_limit{1500};

/// Time between a failed call and the next one to the same area.
constexpr time_ms retry_pause{150};
constexpr time_ms registration_time_limit{1000};

/// Time between a registration that got no reply and the next one.
constexpr time_ms registration_pause{500};

/// The store counts as reachable for this time after its last reply. A watch
/// without changes is answered every `watch_wait`.
constexpr time_ms reachable_for{1800};

/// A time limit doubles with each failure, but no more than this many times.
constexpr std::uint32_t max_doublings = 2;

/// How one area is read and watched, and who handles its records.
struct area_handlers
{
    /// The state of its watch.
    watch_state store_session_state::*watch;
    store_area area;

    /// Purposes of the calls that read and watch it.
    store_purpose read_purpose;
    store_purpose watch_purpose;

    /// Handle the complete area, and one change of it.
    void (*on_read)(context&, std::span<store_item const>);
    void (*on_change)(context&, store_item const&);

    /// Time between a reply with changes and the next call.
    time_ms pause;
};

constexpr area_handlers operators{&store_session_state::operators,
                                  store_area::operators,
                                  store_purpose::read_operators,
                                  store_purpose::watch_operators,
                                  areas::operators_read,
                                  areas::operators_changed,
                                  time_ms(0)};
constexpr area_handlers coordination{&store_session_state::coordination,
                                     store_area::coordination,
                                     store_purpose::read_coordination,
                                     store_purpose::watch_coordination,
                                     areas::coordination_read,
                                     areas::coordination_changed,
                                     watch_pause};
constexpr area_handlers worker_entries{&store_session_state::workers,
                                       store_area::workers,
                                       store_purpose::read_workers,
                                       store_purpose::watch_workers,
                                       areas::workers_read,
                                       areas::workers_changed,
                                       watch_pause};

/// Reads or watches the area if no call is in flight and the next one is due.
void call_if_due(context& ctx, area_handlers const& handlers)
{
    auto& watch = ctx.state.store.*handlers.watch;
    if (watch.call || ctx.now < watch.retry_at)
    {
        return;
    }
    watch.call =
        watch.loaded
            ? call(
                ctx, handlers.watch_purpose,
                watch_area{handlers.area, watch.revision, watch_wait},
                extended_time_limit(watch_wait + watch_margin, watch.failures))
            : call(ctx, handlers.read_purpose, read_area{handlers.area},
                   extended_time_limit(read_time_limit, watch.failures));
}

/// Handles the reply to a read or watch of an area.
void area_replied(context& ctx, area_handlers const& handlers,
                  store_replied const& reply)
{
    auto& watch = ctx.state.store.*handlers.watch;
    if (watch.call != reply.call)
    {
        return;
    }
    watch.call.reset();
    if (reply.status == store_status::compacted)
    {
        ctx.log(log_level::info, "store",
                "the store no longer has all changes since the last reply, "
                "reading all records again");
        watch.loaded = false;
    }
    else if (reply.status != store_status::ok)
    {
        watch.retry_at = ctx.now + retry_pause;
        ++watch.failures;
    }
    else if (!watch.loaded)
    {
        watch.loaded = true;
        watch.revision = reply.revision;
        handlers.on_read(ctx, reply.items);
    }
    else
    {
        watch.revision = reply.revision;
        for (auto const& item : reply.items)
        {
            handlers.on_change(ctx, item);
        }
        if (!reply.items.empty())
        {
            watch.retry_at = ctx.now + handlers.pause;
        }
    }
    if (reply.status == store_status::ok)
    {
        watch.failures = 0;
        call_if_due(ctx, handlers);
    }
}

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
                      ctx.state.options.cpu_share, ctx.state.options.region});
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
std::uint64_t emit_call(context& ctx, pending_store_call pending, request what,
                        time_ms time_limit)
{
    auto const number = ctx.state.store.next_call++;
    ctx.state.store.calls.emplace(number, pending);
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
    case store_purpose::claim:
        return ownership::claim_replied(ctx, reply);
    case store_purpose::verify_owner:
        return ownership::verify_replied(ctx, reply);
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
    return emit_call(ctx, {purpose, 0, ctx.now}, std::move(what), time_limit);
}

std::uint64_t call(shard_context& ctx, store_purpose purpose, request what,
                   time_ms time_limit)
{
    return emit_call(ctx, {purpose, ctx.shard.number, ctx.now}, std::move(what),
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
    auto const [purpose, shard, sent_at] = found->second;
    ctx.state.store.calls.erase(found);
    update_failing_since(ctx, reply, sent_at);
    if (reply.unreadable_items > 0)
    {
        ctx.log(log_level::warning, "store",
                std::to_string(reply.unreadable_items)
                    + " records of a reply have no readable key or revision");
        ctx.count("unreadable_records_total", "item");
    }
    switch (purpose)
    {
    case store_purpose::read_operators:
    case store_purpose::watch_operators:
        return area_replied(ctx, operators, reply);
    case store_purpose::read_coordination:
    case store_purpose::watch_coordination:
        return area_replied(ctx, coordination, reply);
    case store_purpose::read_workers:
    case store_purpose::watch_workers:
        return area_replied(ctx, worker_entries, reply);
    case store_purpose::count_workers:
        return layout::workers_counted(ctx, reply);
    case store_purpose::register_member:
        if (reply.status == store_status::ok)
        {
            ctx.state.store.registered = true;
        }
        return;
    case store_purpose::remove_member:
    case store_purpose::write_layout:
        // The watch of the coordination area reports what was written.
        return;
    case store_purpose::read_submissions:
    case store_purpose::claim:
    case store_purpose::verify_owner:
    case store_purpose::write_roster:
    case store_purpose::append:
        return shard_replied({ctx, ctx.state.shards[shard]}, purpose, reply);
    }
}

void tick(context& ctx)
{
    call_if_due(ctx, operators);
    call_if_due(ctx, coordination);
    // Only owners need the worker entries, which change all the time.
    if (layout::holds_any_shard(ctx.state))
    {
        call_if_due(ctx, worker_entries);
    }
    else if (ctx.state.store.workers.loaded || ctx.state.store.workers.call)
    {
        ctx.state.store.workers = {};
        ctx.state.worker_entries.clear();
    }
    layout::tick(ctx);
    register_member(ctx);
}

bool reachable(daemon_state const& state, time_ms now)
{
    return !state.store.failing_since
           && now - state.store.last_success < reachable_for;
}

} // namespace jaydrift::schedule::store_session
