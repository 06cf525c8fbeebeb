#include <jaydrift/schedule/stopping.hpp>

#include <jaydrift/schedule/calls.hpp>
#include <jaydrift/schedule/context.hpp>
#include <jaydrift/schedule/layout.hpp>

#include <string>

namespace jaydrift::schedule::stopping {

namespace {

/// The load balancer probes once a second and sends new connections until two
/// probes have failed.
constexpr time_ms balancer_delay{2300};

/// Time for the connections to close before the exit.
constexpr time_ms close_time{1000};

/// Time left between the exit and SIGKILL.
constexpr time_ms exit_margin{700};

/// Time for the last answers to be sent before the exit.
constexpr time_ms answer_time{200};

/// Returns whether the daemon has no open calls and holds no shard.
bool is_idle(context const& ctx)
{
    return ctx.state.calls.empty() && !layout::holds_any_shard(ctx.state);
}

} // namespace

void requested(context& ctx)
{
    if (!ctx.state.stopping_since)
    {
        ctx.state.stopping_since = ctx.now;
        ctx.log(log_level::info, "process", "stop requested, no longer ready");
        ctx.emit(set_ready{false});
        ctx.state.ready = false;
    }
}

void tick(context& ctx)
{
    if (!ctx.state.stopping_since)
    {
        auto const ready = ctx.state.config.has_value();
        if (ready != ctx.state.ready)
        {
            ctx.state.ready = ready;
            ctx.emit(set_ready{ready});
        }
        return;
    }
    auto const age = ctx.now - *ctx.state.stopping_since;
    if (age >= balancer_delay && !ctx.state.closing_connections)
    {
        ctx.state.closing_connections = true;
        ctx.emit(close_connections{});
    }
    auto const latest_exit = ctx.state.options.stop_grace - exit_margin;
    auto const earliest_exit = balancer_delay + close_time;
    if (age >= latest_exit - answer_time && !ctx.state.calls.empty())
    {
        ctx.log(
            log_level::warning, "process",
            std::to_string(ctx.state.calls.size())
                + " open calls are answered as unavailable or unknown before "
                  "the exit");
        calls::fail_open_calls(ctx);
    }
    if (!ctx.state.exiting
        && ((age >= earliest_exit && is_idle(ctx)) || age >= latest_exit))
    {
        ctx.state.exiting = true;
        ctx.log(log_level::info, "process", "stopped");
        ctx.emit(exit_process{});
    }
}

} // namespace jaydrift::schedule::stopping
