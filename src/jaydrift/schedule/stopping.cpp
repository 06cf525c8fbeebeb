#include <jaydrift/schedule/stopping.hpp>

#include <jaydrift/schedule/calls.hpp>
#include <jaydrift/schedule/context.hpp>
#include <jaydrift/schedule/layout.hpp>

#include <string>

namespace jaydrift::schedule::stopping {

namespace {

/// The balancer sends new connections until it has missed two probes, which
/// come once a second.
constexpr time_ms balancer_delay{2300};

/// Left between the exit and SIGKILL.
constexpr time_ms exit_margin{700};

/// Time to write the last answers before the exit.
constexpr time_ms answer_time{200};

bool serves_nobody(context const& c)
{
    return c.s.calls.empty() && !layout::holds_any(c.s);
}

} // namespace

void requested(context& c)
{
    if (!c.s.stopping_since)
    {
        c.s.stopping_since = c.now;
        c.log(log_level::info, "process", "stopping, no longer ready");
        c.emit(set_ready{false});
        c.s.ready = false;
    }
}

void tick(context& c)
{
    if (!c.s.stopping_since)
    {
        auto const ready = c.s.config.has_value();
        if (ready != c.s.ready)
        {
            c.s.ready = ready;
            c.emit(set_ready{ready});
        }
        return;
    }
    auto const age = c.now - *c.s.stopping_since;
    if (age >= balancer_delay && !c.s.closing_connections)
    {
        c.s.closing_connections = true;
        c.emit(close_connections{});
    }
    auto const limit = c.s.options.stop_grace - exit_margin;
    auto const linger = balancer_delay + time_ms(1000);
    if (age >= limit - answer_time && !c.s.calls.empty())
    {
        c.log(log_level::warning, "process",
              std::to_string(c.s.calls.size())
                  + " calls are answered without a result before the exit");
        calls::answer_all(c);
    }
    if (!c.s.exiting && ((age >= linger && serves_nobody(c)) || age >= limit))
    {
        c.s.exiting = true;
        c.log(log_level::info, "process", "stopped");
        c.emit(exit_process{});
    }
}

} // namespace jaydrift::schedule::stopping
