#ifndef JAYDRIFT_APP_STANDIN_TRAITS_HPP
#define JAYDRIFT_APP_STANDIN_TRAITS_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/standin/reduce_backend.hpp>
#include <jaydrift/standin/reduce_store.hpp>
#include <jaydrift/standin/reduce_worker.hpp>
#include <jaydrift/standin/timer_due.hpp>

namespace jaydrift::app {

/// Describes a stand-in's reducer to `process::control_loop`.
template<class State, class Event, class Effect>
struct standin_traits
{
    using state = State;
    using event = Event;
    using effect = Effect;

    static auto reduce(state& current, event const& input, time_ms now)
    {
        return standin::reduce(current, input, now);
    }

    static time_ms next_timer(state const& current)
    {
        return standin::next_timer(current);
    }

    static event timer_event(time_ms) { return standin::timer_due{}; }
};

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_STANDIN_TRAITS_HPP
