#include <jaydrift/standin/reduce_backend.hpp>

#include <jaydrift/standin/answer_body.hpp>
#include <jaydrift/standin/backend_state.hpp>
#include <jaydrift/standin/never.hpp>

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

namespace jaydrift::standin {

namespace {

constexpr int status_ok = 200;
constexpr int status_failed = 500;
constexpr int status_refused = 503;

/// Handles one event of a backend server.
class dispatcher
{
public:
    dispatcher(backend_state& state, time_ms now, backend_effects& effects)
        : state_(state), now_(now), effects_(effects)
    {
    }

    /// Answers the executions that have ended.
    void advance()
    {
        auto& running = state_.running;
        auto const ended =
            std::stable_partition(running.begin(), running.end(),
                                  [&](running_execution const& execution) {
                                      return execution.ends_at > now_;
                                  });
        std::for_each(ended, running.end(),
                      [&](running_execution const& execution) {
                          answer(execution.call);
                      });
        running.erase(ended, running.end());
    }

    void operator()(timer_due const&) {}

    void operator()(execute_called const& input)
    {
        if (state_.draining || state_.running.size() >= state_.settings.slots)
        {
            auto const* reason =
                state_.draining ? "the server is leaving" : "no free slot";
            effects_.emplace_back(
                answer_execution{input.number, status_refused, reason});
            return;
        }
        ++state_.executions[input.request];
        record("execution_started", input);
        state_.running.push_back({now_ + random_duration(), input});
    }

    void operator()(set_backend_fault const& input)
    {
        switch (input.fault)
        {
        case backend_fault::slowness:
            state_.slowness = time_ms(input.value);
            return;
        case backend_fault::fail:
            state_.fail = input.value != 0;
            return;
        case backend_fault::drain:
            state_.draining = input.value != 0;
            return;
        }
    }

private:
    time_ms random_duration()
    {
        auto result = state_.settings.service_time + state_.slowness;
        if (auto const max_jitter_ms = state_.settings.jitter.count();
            max_jitter_ms > 0)
        {
            result += time_ms(static_cast<std::int64_t>(state_.random.below(
                static_cast<std::uint64_t>(max_jitter_ms) + 1)));
        }
        return result;
    }

    void answer(execute_called const& call)
    {
        record("execution_ended", call);
        if (state_.fail)
        {
            effects_.emplace_back(answer_execution{call.number, status_failed,
                                                   "the execution failed"});
            return;
        }
        effects_.emplace_back(answer_execution{
            call.number, status_ok,
            answer_body(call.request, call.kind, call.payload)});
    }

    void record(std::string_view name, execute_called const& call)
    {
        effects_.emplace_back(
            record_event{std::string(name), call.request, {}, call.kind});
    }

    backend_state& state_;
    time_ms now_;
    backend_effects& effects_;
};

} // namespace

backend_effects reduce(backend_state& state, backend_event const& input,
                       time_ms now)
{
    backend_effects effects;
    dispatcher dispatch(state, now, effects);
    dispatch.advance();
    std::visit(dispatch, input);
    return effects;
}

time_ms next_timer(backend_state const& state)
{
    auto next = never;
    for (auto const& execution : state.running)
    {
        next = std::min(next, execution.ends_at);
    }
    return next;
}

} // namespace jaydrift::standin
