#include <jaydrift/schedule/area_watch.hpp>

#include <jaydrift/schedule/areas.hpp>
#include <jaydrift/schedule/context.hpp>
#include <jaydrift/schedule/event.hpp>
#include <jaydrift/schedule/layout.hpp>
#include <jaydrift/schedule/store_session.hpp>

#include <span>

namespace jaydrift::schedule::area_watch {

namespace {

using store_session::call;
using store_session::extended_time_limit;

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

} // namespace

void replied(context& ctx, store_purpose purpose, store_replied const& reply)
{
    for (auto const* const handlers :
         {&operators, &coordination, &worker_entries})
    {
        if (purpose == handlers->read_purpose
            || purpose == handlers->watch_purpose)
        {
            area_replied(ctx, *handlers, reply);
        }
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
}

} // namespace jaydrift::schedule::area_watch
