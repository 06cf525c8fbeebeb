#ifndef JAYDRIFT_APP_STANDIN_RUNTIME_HPP
#define JAYDRIFT_APP_STANDIN_RUNTIME_HPP

#include <jaydrift/app/standin_handlers.hpp>
#include <jaydrift/app/standin_traits.hpp>
#include <jaydrift/app/state_reader.hpp>
#include <jaydrift/app/timeline.hpp>
#include <jaydrift/app/timeline_text.hpp>
#include <jaydrift/core/steady_clock.hpp>
#include <jaydrift/process/control_loop.hpp>
#include <jaydrift/process/event_queue.hpp>
#include <jaydrift/standin/record_event.hpp>
#include <jaydrift/standin/timer_due.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace jaydrift::app {

/// The common parts of the stand-in processes: the event queue, the control
/// loop, the timeline and the handlers of the HTTP front end.
template<class State, class Event, class Effect>
class standin_runtime
{
public:
    /// `process` is the name of the process in its timeline, which keeps the
    /// last `timeline_events` events.
    standin_runtime(std::string_view process, std::size_t queue_capacity,
                    std::size_t timeline_events)
        : events_(queue_capacity), timeline_(process, timeline_events)
    {
    }

    process::event_queue<Event>& events() { return events_; }

    /// Runs the reducer on the calling thread until `events().finish()` is
    /// called. Afterwards, `post` refuses every event, and those that are still
    /// queued are left for the caller to drain.
    template<class Interpreter>
    void run(State initial, Interpreter& interpreter)
    {
        timeline_.record("process_started");
        process::control_loop<standin_traits<State, Event, Effect>,
                              steady_clock, Interpreter>
            loop(std::move(initial), clock_, interpreter, events_);
        loop.run();
        events_.close();
        reader_.close();
    }

    /// Adds an event to the timeline.
    void record(standin::record_event const& effect)
    {
        timeline_.record(effect.name, effect.request, effect.task,
                         effect.detail);
    }

    /// Answers pending reads of the counters. Called on the control thread
    /// after each step of the reducer.
    void serve_readers(State const& state) { reader_.serve(state); }

    /// Returns the handlers of a front end, which refer to this object. `parse`
    /// turns a fault control into an event, and `to_json` prints the counters
    /// of the state.
    template<class Parse>
    standin_handlers handlers(Parse parse,
                              std::function<std::string(State const&)> to_json)
    {
        standin_handlers result;
        result.control = [this, parse](std::string_view name,
                                       control_parameters const& parameters) {
            events_.deliver(parse(name, parameters));
        };
        result.stats = [this, to_json = std::move(to_json)] {
            return reader_.read(
                to_json, [this] { events_.deliver(standin::timer_due{}); });
        };
        result.timeline = [this] {
            return format_timeline_lines(timeline_.events_after(0));
        };
        return result;
    }

private:
    steady_clock clock_;
    process::event_queue<Event> events_;
    timeline timeline_;
    state_reader<State> reader_;
};

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_STANDIN_RUNTIME_HPP
