#ifndef JAYDRIFT_APP_DAEMON_TRAITS_HPP
#define JAYDRIFT_APP_DAEMON_TRAITS_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/decide/daemon_state.hpp>
#include <jaydrift/decide/effect.hpp>
#include <jaydrift/decide/event.hpp>
#include <jaydrift/decide/reduce.hpp>

namespace jaydrift::app {

/// Describes the daemon's reducer to `process::control_loop`.
struct daemon_traits
{
    using state = decide::daemon_state;
    using event = decide::event;
    using effect = decide::effect;

    static decide::effect_list reduce(state& current, event const& input,
                                      time_ms now)
    {
        return decide::reduce(current, input, now);
    }

    static time_ms next_timer(state const& current)
    {
        return decide::next_timer(current);
    }

    static event timer_event(time_ms) { return decide::timer_due{}; }
};

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_DAEMON_TRAITS_HPP
