#ifndef JAYDRIFT_PROCESS_CONTROL_LOOP_HPP
#define JAYDRIFT_PROCESS_CONTROL_LOOP_HPP

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <optional>
#include <utility>

#include <jaydrift/core/clock.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/process/event_queue.hpp>

namespace jaydrift::process {

/// Describes a reducer: its types `state`, `event` and `effect`, and its
/// functions. `reduce` changes the state and returns a range of effects;
/// `next_timer` returns when the reducer next needs the event that
/// `timer_event` returns; its argument is the duration of the previous timer
/// step.
template<class Traits>
concept reducer_traits = requires(typename Traits::state& state,
                                  typename Traits::state const& const_state,
                                  typename Traits::event const& input,
                                  time_ms now)
{
    typename Traits::effect;
    Traits::reduce(state, input, now).begin();
    {
        Traits::next_timer(const_state)
        } -> std::same_as<time_ms>;
    {
        Traits::timer_event(now)
        } -> std::convertible_to<typename Traits::event>;
};

/// Carries out the effects of a reducer. All functions run on the control
/// thread and must not block. After each step, `state_changed` is called first,
/// to publish parts of the state to other threads, then `execute` once per
/// effect. An interpreter that sends effects on in groups also has
/// `step_finished`, which is called last. One that measures the delay of events
/// has `event_taken`, which is called before the step of an event from the
/// queue, with the time that the event waited and the number of those that are
/// still queued.
template<class Interpreter, class Traits>
concept effect_interpreter = requires(Interpreter& interpreter,
                                      typename Traits::effect output,
                                      typename Traits::state const& state)
{
    interpreter.execute(std::move(output));
    interpreter.state_changed(state);
};

/// Runs a reducer on one thread, the control thread, which owns the state.
template<reducer_traits Traits, clock Clock,
         effect_interpreter<Traits> Interpreter,
         class Queue = event_queue<typename Traits::event>>
class control_loop
{
public:
    using state = typename Traits::state;
    using event = typename Traits::event;

    /// The clock, the interpreter and the queue must outlive the loop.
    control_loop(state initial, Clock& time_source, Interpreter& interpreter,
                 Queue& events)
        : state_(std::move(initial)), clock_(time_source),
          interpreter_(interpreter), events_(events)
    {
    }

    /// Handles events until `event_queue::finish` is called.
    void run()
    {
        while (!events_.finished())
        {
            run_once();
        }
    }

    /// Waits for an event or a timer, at most a minute. Handles the event, if
    /// any, and then the timer if it is due. After a long step of the timer,
    /// the events that were queued when it ended come before the next one, so
    /// that long steps do not starve the queue. A busy queue does not delay a
    /// timer whose steps are short.
    void run_once()
    {
        if (auto const input = events_.pop(wait_limit()))
        {
            if constexpr (requires {
                              interpreter_.event_taken(input->waited,
                                                       events_.size());
                          })
            {
                interpreter_.event_taken(input->waited, events_.size());
            }
            step(input->value);
            events_before_timer_ -= events_before_timer_ > 0 ? 1 : 0;
        }
        auto const now = clock_.now();
        if (!events_.finished() && events_before_timer_ == 0
            && now >= next_timer())
        {
            last_timer_event_ = now;
            step(Traits::timer_event(last_timer_took_));
            last_timer_took_ = clock_.now() - now;
            events_before_timer_ =
                last_timer_took_ >= min_timer_interval ? events_.size() : 0;
        }
    }

private:
    /// Also bounds the wait when no timer is set: the end of a wait until the
    /// maximum time would overflow.
    static constexpr time_ms max_wait{60000};

    /// Limits the processor time of a reducer whose timer stays due.
    static constexpr time_ms min_timer_interval{5};

    /// Returns when the next timer event is due on `clock_`, possibly in the
    /// past.
    time_ms next_timer() const
    {
        auto const due = Traits::next_timer(state_);
        return last_timer_event_
                   ? std::max(due, *last_timer_event_ + min_timer_interval)
                   : due;
    }

    time_ms wait_limit() const
    {
        auto const now = clock_.now();
        auto const due = next_timer();
        return due <= now ? time_ms(0) : std::min(due - now, max_wait);
    }

    void step(event const& input)
    {
        auto effects = Traits::reduce(state_, input, clock_.now());
        interpreter_.state_changed(state_);
        for (auto& output : effects)
        {
            interpreter_.execute(std::move(output));
        }
        if constexpr (requires { interpreter_.step_finished(); })
        {
            interpreter_.step_finished();
        }
    }

    state state_;
    Clock& clock_;
    Interpreter& interpreter_;
    Queue& events_;
    std::optional<time_ms> last_timer_event_;
    time_ms last_timer_took_;

    /// Events that were queued when the last step of the timer ended, if that
    /// was a long one, and have not been handled yet.
    std::size_t events_before_timer_ = 0;
};

} // namespace jaydrift::process

#endif // JAYDRIFT_PROCESS_CONTROL_LOOP_HPP
