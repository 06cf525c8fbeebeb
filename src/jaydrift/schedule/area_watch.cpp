#include <jaydrift/schedule/area_watch.hpp>

#include <jaydrift/schedule/areas.hpp>
#include <jaydrift/schedule/context.hpp>
#include <jaydrift/schedule/event.hpp>
#include <jaydrift/schedule/layout.hpp>
#include <jaydrift/schedule/relay.hpp>
#include <jaydrift/schedule/relay_choice.hpp>
#include <jaydrift/schedule/store_session.hpp>
#include <jaydrift/schedule/view_age.hpp>

#include <algorithm>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace jaydrift::schedule::area_watch {

namespace {

using store_session::call;
using store_session::extended_time_limit;

/// The store answers a watch without changes after this time. If no reply
/// comes within the margin either, the connection is taken to be broken.
constexpr time_ms watch_wait{1000};
constexpr time_ms watch_margin{700};

/// Wait of a daemon that passes an area on to others: their views are older
/// than its own.
constexpr time_ms followed_watch_wait{500};

/// Time between a reply with changes and the next watch. It gathers changes,
/// since each reply costs a call to the store: workers write all the time, and
/// hundreds of daemons register at once. A new owner is known without this
/// delay from its heartbeats.
constexpr time_ms watch_pause{200};
constexpr time_ms read_time_limit{1500};

/// Another daemon answers after this time without changes: in normal operation,
/// if its own view lags, and if this daemon has no view yet.
constexpr time_ms relay_wait{500};
constexpr time_ms lagging_relay_wait{200};
constexpr time_ms first_relay_wait{150};

/// Its answer is overdue this long after the wait, and then ends unless it is
/// on its way. The time limit ends it in any case.
constexpr time_ms relay_margin{300};
constexpr time_ms first_relay_margin{150};
constexpr time_ms relay_time_limit{3000};

/// Shortest time between the sending of a call that failed and the next one to
/// the same area.
constexpr time_ms retry_pause{150};

/// A reply that takes at least this time from its header to its end is
/// reported.
constexpr time_ms slow_transfer{200};

/// Shortest time between two lines about failures of the same area: a store
/// that resets connections fails each call within milliseconds.
constexpr time_ms failure_line_interval{1000};

/// Time between two updates of the gauges of the views' ages.
constexpr time_ms gauge_interval{1000};

/// How one area is read and watched, and who handles its records.
struct area_handlers
{
    /// Its name in log lines and metrics.
    std::string_view name;

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

    /// One daemon of each region passes the area on to the others.
    bool relayed = false;
};

constexpr area_handlers operators{"operators",
                                  &store_session_state::operators,
                                  store_area::operators,
                                  store_purpose::read_operators,
                                  store_purpose::watch_operators,
                                  areas::operators_read,
                                  areas::operators_changed,
                                  time_ms(0),
                                  true};
constexpr area_handlers coordination{"coordination",
                                     &store_session_state::coordination,
                                     store_area::coordination,
                                     store_purpose::read_coordination,
                                     store_purpose::watch_coordination,
                                     areas::coordination_read,
                                     areas::coordination_changed,
                                     watch_pause};
constexpr area_handlers worker_entries{"workers",
                                       &store_session_state::workers,
                                       store_area::workers,
                                       store_purpose::read_workers,
                                       store_purpose::watch_workers,
                                       areas::workers_read,
                                       areas::workers_changed,
                                       watch_pause};

constexpr area_handlers const* all_areas[] = {&operators, &coordination,
                                              &worker_entries};

/// @pre The area has been read.
time_ms age(context const& ctx, watch_state const& watch)
{
    return ctx.now - *watch.current_at;
}

std::string milliseconds(time_ms value)
{
    return std::to_string(value.count()) + " ms";
}

/// Describes the view of an area: its age, its revision and the highest one
/// known of the store, and which calls the store has answered.
std::string view_text(context const& ctx, area_handlers const& handlers)
{
    auto const& watch = ctx.state.store.*handlers.watch;
    if (!watch.current_at)
    {
        return std::string(handlers.name) + " have not been read yet";
    }
    auto const answered = ctx.state.store.answered_sent_at;
    return "the view of " + std::string(handlers.name) + " is "
           + milliseconds(age(ctx, watch)) + " old, at revision "
           + std::to_string(watch.revision) + " of "
           + std::to_string(ctx.state.store.highest_revision) + " or more"
           + (answered ? "; the last call that the store has answered was sent "
                             + milliseconds(ctx.now - *answered) + " ago"
                       : "");
}

/// Describes how much of a reply has arrived.
std::string progress_text(reply_progress const& progress)
{
    if (!progress.header_after)
    {
        return "no byte of a reply";
    }
    return std::to_string(progress.received_bytes)
           + (progress.length_bytes
                  ? " of " + std::to_string(*progress.length_bytes)
                  : std::string())
           + " bytes of a reply, the first after "
           + milliseconds(*progress.header_after);
}

/// Logs that a read or watch has failed, once in `failure_line_interval`.
void report_failure(context& ctx, area_handlers const& handlers,
                    store_replied const& reply)
{
    auto& watch = ctx.state.store.*handlers.watch;
    ctx.count(watch.loaded ? "watch_failures_total" : "read_failures_total",
              handlers.name);
    if (ctx.now < watch.next_failure_line)
    {
        ++watch.unreported_failures;
        return;
    }
    auto const unreported = std::exchange(watch.unreported_failures, 0);
    watch.next_failure_line = ctx.now + failure_line_interval;
    ctx.log(log_level::warning, "store",
            (watch.loaded ? "the watch of " : "the read of ")
                + std::string(handlers.name) + " failed after "
                + milliseconds(ctx.now - watch.sent_at) + " with "
                + progress_text(reply.progress) + "; "
                + view_text(ctx, handlers)
                + (unreported > 0 ? "; " + std::to_string(unreported)
                                        + " failures since the last line"
                                  : ""));
}

/// Returns whether a reply brings the view up to date: a watch without changes,
/// and any reply that reaches the highest revision known when it was asked for,
/// shows the area as it was then.
bool catches_up(watch_state const& watch, store_replied const& reply)
{
    return reply.items.empty() || reply.revision >= watch.known_when_sent;
}

/// Notes that a view shows what the store held at a time.
void show_as_of(context& ctx, area_handlers const& handlers, time_ms time,
                std::uint64_t revision)
{
    auto& watch = ctx.state.store.*handlers.watch;
    auto const before = watch.current_at ? age(ctx, watch) : time_ms(0);
    watch.current_at = std::max(watch.current_at.value_or(time), time);
    if (watch.reported_stale && !view_age::is_stale(watch, ctx.now))
    {
        watch.reported_stale = false;
        ctx.log(log_level::info, "store",
                "the view of " + std::string(handlers.name) + " is current"
                    + " again, at revision " + std::to_string(revision)
                    + "; it was " + milliseconds(before) + " old");
    }
}

/// Notes the age of a view after a reply.
void note_age(context& ctx, area_handlers const& handlers,
              store_replied const& reply)
{
    auto& watch = ctx.state.store.*handlers.watch;
    if (!catches_up(watch, reply))
    {
        return;
    }
    show_as_of(ctx, handlers, watch.sent_at, reply.revision);
}

/// Logs once that a view is out of date.
void report_stale(context& ctx, area_handlers const& handlers)
{
    auto& watch = ctx.state.store.*handlers.watch;
    if (!watch.reported_stale && view_age::is_stale(watch, ctx.now))
    {
        watch.reported_stale = true;
        ctx.log(log_level::warning, "store", view_text(ctx, handlers));
    }
}

void show_ages(context& ctx)
{
    auto& session = ctx.state.store;
    if (ctx.now < session.next_age_gauges)
    {
        return;
    }
    session.next_age_gauges = ctx.now + gauge_interval;
    for (auto const* const handlers : all_areas)
    {
        auto const& watch = session.*handlers->watch;
        ctx.gauge("view_age_ms", handlers->name,
                  watch.current_at ? age(ctx, watch).count() : 0);
    }
    ctx.gauge("configuration_version", "in_force",
              ctx.state.config
                  ? static_cast<std::int64_t>(ctx.state.config->version)
                  : 0);
}

/// Asks another daemon for the area.
void call_relay_at(context& ctx, watch_state& watch, std::string const& node)
{
    auto& relay = ctx.state.relay;
    auto const wait = !watch.loaded   ? first_relay_wait
                      : relay.lagging ? lagging_relay_wait
                                      : relay_wait;
    watch.sent_at = ctx.now;
    watch.call = ctx.state.store.next_call++;
    relay.answer_due_at =
        ctx.now + wait + (watch.loaded ? relay_margin : first_relay_margin);
    ctx.emit(call_relay{*watch.call, ctx.state.members.at(node).address,
                        watch.loaded ? watch.revision : 0, wait,
                        relay_time_limit});
}

/// Ends the call to another daemon if its answer is overdue.
void end_overdue_relay_call(context& ctx)
{
    auto& relay = ctx.state.relay;
    auto const& watch = ctx.state.store.operators;
    if (watch.call && !relay.source.empty() && ctx.now >= relay.answer_due_at)
    {
        relay.answer_due_at = ctx.now + relay_margin;
        ctx.emit(end_silent_call{
            *watch.call, watch.loaded ? relay_margin : first_relay_margin});
    }
}

/// Chooses where the area is read from. Returns whether that has changed.
bool choose_source(context& ctx)
{
    auto source = relay_choice::source(ctx).value_or(std::string());
    auto& relay = ctx.state.relay;
    if (source == relay.source)
    {
        return false;
    }
    ctx.log(
        log_level::info, "config",
        "the operators' area is read from "
            + (source.empty() ? std::string("the store") : source)
            + ", before from "
            + (relay.source.empty() ? std::string("the store") : relay.source));
    relay.source = std::move(source);
    relay.lagging = false;
    if (relay.source.empty())
    {
        relay.catch_up_until.reset();
    }
    return true;
}

/// Returns how long the store may wait for a change. After a failure, and after
/// a slow reply if others follow this daemon, a watch is answered at once, also
/// without changes: until then the view is out of date, and a lost call is
/// noticed sooner.
time_ms wait_of(context const& ctx, area_handlers const& handlers,
                bool source_changed)
{
    auto const& watch = ctx.state.store.*handlers.watch;
    auto const followed = handlers.relayed && relay::has_followers(ctx);
    if (watch.failures > 0 || source_changed
        || (followed && age(ctx, watch) >= relay::max_age))
    {
        return {};
    }
    return followed ? followed_watch_wait : watch_wait;
}

/// Reads or watches the area if no call is in flight and the next one is due.
void call_if_due(context& ctx, area_handlers const& handlers)
{
    auto& watch = ctx.state.store.*handlers.watch;
    if (watch.call || ctx.now < watch.retry_at)
    {
        return;
    }
    auto source_changed = false;
    if (handlers.relayed)
    {
        if (!watch.loaded && relay_choice::may_wait(ctx))
        {
            return;
        }
        source_changed = choose_source(ctx);
        if (!ctx.state.relay.source.empty())
        {
            call_relay_at(ctx, watch, ctx.state.relay.source);
            return;
        }
    }
    watch.sent_at = ctx.now;
    watch.known_when_sent = ctx.state.store.highest_revision;
    watch.call =
        watch.loaded
            ? call(
                ctx, handlers.watch_purpose,
                watch_area{handlers.area, watch.revision,
                           wait_of(ctx, handlers, source_changed)},
                extended_time_limit(watch_wait + watch_margin, watch.failures))
            : call(ctx, handlers.read_purpose, read_area{handlers.area},
                   extended_time_limit(read_time_limit, watch.failures));
}

/// Makes the next call a read of the whole area. The size of a read is bounded
/// by the number of records, that of the changes since a revision is not.
void read_again(context& ctx, area_handlers const& handlers,
                std::string_view reason)
{
    (ctx.state.store.*handlers.watch).loaded = false;
    ctx.count("areas_read_again_total", handlers.name);
    ctx.log(log_level::info, "store",
            "reading all " + std::string(handlers.name)
                + " again: " + std::string(reason));
}

/// Returns whether following the changes of an area costs more than a read:
/// there have been more changes than records in the last reply and those before
/// it that did not bring the view up to date, and there are later ones.
bool falls_behind(context const& ctx, watch_state const& watch)
{
    return watch.changes_behind > watch.records
           && watch.revision < ctx.state.store.highest_revision;
}

/// Returns whether a reply did not arrive in full.
bool arrived_in_part(store_replied const& reply)
{
    return reply.status == store_status::lost
           && reply.progress.received_bytes > 0
           && reply.progress.received_bytes != reply.progress.length_bytes;
}

/// Reports a complete reply that arrived slowly.
void report_transfer(context& ctx, area_handlers const& handlers,
                     store_replied const& reply)
{
    auto const& watch = ctx.state.store.*handlers.watch;
    if (!reply.progress.header_after)
    {
        return;
    }
    auto const transfer =
        ctx.now - watch.sent_at - *reply.progress.header_after;
    ctx.observe("area_transfer_ms", transfer);
    if (transfer >= slow_transfer)
    {
        ctx.log(log_level::info, "store",
                "a reply about " + std::string(handlers.name) + " of "
                    + std::to_string(reply.progress.received_bytes)
                    + " bytes took " + milliseconds(transfer)
                    + " from its header to its end, the call "
                    + milliseconds(ctx.now - watch.sent_at));
    }
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
    auto const version = view_age::version(ctx);
    auto const age_before = watch.current_at ? age(ctx, watch) : time_ms(0);
    if (reply.status == store_status::ok)
    {
        report_transfer(ctx, handlers, reply);
    }
    if (reply.status == store_status::compacted)
    {
        read_again(ctx, handlers,
                   "the store no longer has all changes since the last reply");
    }
    else if (reply.status != store_status::ok)
    {
        report_failure(ctx, handlers, reply);
        if (watch.loaded && arrived_in_part(reply))
        {
            // The same watch would ask for this reply and all later changes.
            read_again(ctx, handlers, "the changes did not arrive in time");
        }
        watch.retry_at = watch.sent_at + retry_pause;
        ++watch.failures;
    }
    else if (!watch.loaded)
    {
        note_age(ctx, handlers, reply);
        watch.loaded = true;
        watch.revision = reply.revision;
        watch.records = reply.items.size();
        watch.changes_behind = 0;
        handlers.on_read(ctx, reply.items);
    }
    else
    {
        watch.changes_behind =
            reply.items.size()
            + (catches_up(watch, reply) ? 0 : watch.changes_behind);
        note_age(ctx, handlers, reply);
        watch.revision = reply.revision;
        for (auto const& item : reply.items)
        {
            handlers.on_change(ctx, item);
        }
        if (falls_behind(ctx, watch))
        {
            read_again(ctx, handlers, "there are more changes than records");
        }
        else if (!reply.items.empty())
        {
            watch.retry_at = ctx.now + handlers.pause;
        }
    }
    view_age::report_replaced(ctx, version, age_before);
    if (reply.status == store_status::ok)
    {
        watch.failures = 0;
        if (handlers.relayed)
        {
            relay::view_changed(ctx);
        }
        call_if_due(ctx, handlers);
    }
}

/// Applies the view of another daemon, unless this daemon's own is later.
void apply_relayed(context& ctx, watch_state& watch, relayed_view const& view)
{
    if (watch.loaded && view.revision < watch.revision)
    {
        return;
    }
    watch.revision = view.revision;
    watch.loaded = areas::operators_relayed(ctx, view);
    if (!watch.loaded)
    {
        ctx.count("areas_read_again_total", operators.name);
        ctx.log(log_level::warning, "config",
                "asking " + ctx.state.relay.source
                    + " for the whole configuration, its change is for "
                      "another one");
        return;
    }
    watch.records = 1 + view.closed_zones.size();
    watch.changes_behind = 0;
}

} // namespace

void replied(context& ctx, store_purpose purpose, store_replied const& reply)
{
    for (auto const* const handlers : all_areas)
    {
        if (purpose == handlers->read_purpose
            || purpose == handlers->watch_purpose)
        {
            area_replied(ctx, *handlers, reply);
        }
    }
}

void relayed(context& ctx, relay_replied const& reply)
{
    auto& watch = ctx.state.store.operators;
    auto& relay = ctx.state.relay;
    if (watch.call != reply.call)
    {
        return;
    }
    watch.call.reset();
    if (!reply.view)
    {
        relay_choice::failed(ctx, relay.source);
        call_if_due(ctx, operators);
        return;
    }
    relay.lagging =
        !relay_choice::answered(ctx, relay.source, watch.sent_at, *reply.view);
    auto const version = view_age::version(ctx);
    auto const age_before = watch.current_at ? age(ctx, watch) : time_ms(0);
    apply_relayed(ctx, watch, *reply.view);
    view_age::report_replaced(ctx, version, age_before);
    if (watch.loaded)
    {
        watch.failures = 0;
        show_as_of(ctx, operators, watch.sent_at - reply.view->lag,
                   reply.view->revision);
        relay::view_changed(ctx);
    }
    call_if_due(ctx, operators);
}

void tick(context& ctx)
{
    end_overdue_relay_call(ctx);
    call_if_due(ctx, operators);
    call_if_due(ctx, coordination);
    // Only owners need the worker entries, which change all the time.
    if (layout::holds_any_shard(ctx.state))
    {
        call_if_due(ctx, worker_entries);
    }
    else if (ctx.state.store.workers.current_at || ctx.state.store.workers.call)
    {
        ctx.state.store.workers = {};
        ctx.state.worker_entries.clear();
    }
    for (auto const* const handlers : all_areas)
    {
        report_stale(ctx, *handlers);
    }
    show_ages(ctx);
}

} // namespace jaydrift::schedule::area_watch
