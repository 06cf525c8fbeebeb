#include <jaydrift/decide/stop.hpp>

#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/ownership.hpp>
#include <jaydrift/decide/requests.hpp>

#include <limits>

namespace jaydrift::decide::stop {

namespace {

// Time between two checks whether the hand-over is complete.
constexpr time_ms check_interval{50};

} // namespace

void on_stop_requested(context& ctx)
{
    auto& stop = ctx.state.stop;
    if (stop.requested_at)
    {
        return;
    }
    stop.requested_at = ctx.now;
    stop.next_check = ctx.now + ctx.state.settings.drain;
    ctx.log(log_level::info, "stop", "Planned stop begins.");
    ctx.add_timeline_event("stop_requested");
}

void on_timer(context& ctx)
{
    auto& stop = ctx.state.stop;
    if (!stop.requested_at || stop.exiting)
    {
        return;
    }
    if (ctx.now < stop.next_check)
    {
        return;
    }
    stop.next_check = ctx.now + check_interval;
    if (!stop.handing_over)
    {
        stop.handing_over = true;
        ownership::release_all(ctx);
    }
    if (ownership::all_released(ctx.state) && requests::idle(ctx.state))
    {
        stop.exiting = true;
        ctx.log(log_level::info, "stop", "Planned stop is complete.");
        ctx.add_timeline_event("stop_complete");
        ctx.emit(exit_process{});
    }
}

bool requested(daemon_state const& state)
{
    return state.stop.requested_at.has_value();
}

time_ms next_timer(daemon_state const& state)
{
    auto const& stop = state.stop;
    bool const active = stop.requested_at && !stop.exiting;
    return active ? stop.next_check
                  : time_ms(std::numeric_limits<std::int64_t>::max());
}

} // namespace jaydrift::decide::stop
