#include <jaydrift/standin/reduce_worker.hpp>

#include <jaydrift/standin/worker_calls.hpp>
#include <jaydrift/standin/worker_context.hpp>
#include <jaydrift/standin/worker_progress.hpp>
#include <jaydrift/standin/worker_tasks.hpp>

#include <algorithm>
#include <variant>

namespace jaydrift::standin {

namespace {

/// Handles one event of a worker.
class dispatcher
{
public:
    explicit dispatcher(worker_context& ctx) : ctx_(ctx) {}

    void operator()(timer_due const&) {}

    void operator()(worker_called const& input)
    {
        std::visit(
            [&](auto const& request) {
                worker_calls::on_call(ctx_, input.number, request);
            },
            input.request);
    }

    void operator()(executor_answered const& input)
    {
        worker_tasks::on_executor_answered(ctx_, input);
    }

    void operator()(set_worker_fault const& input)
    {
        auto& state = ctx_.state;
        switch (input.fault)
        {
        case worker_fault::fail_starts:
            state.fail_starts = input.value != 0;
            return;
        case worker_fault::leave:
            state.leaving = input.value != 0;
            ctx_.record(state.leaving ? "vm_leaving" : "vm_staying");
            return;
        case worker_fault::usage_lag:
            state.usage_lag = time_ms(input.value);
            return;
        case worker_fault::run_time_permille:
            state.run_time_permille = bounded(input.value);
            return;
        case worker_fault::usage_permille:
            state.usage_permille = bounded(input.value);
            return;
        }
    }

    void operator()(set_noise const& input)
    {
        ctx_.state.noise[{input.kind, input.noisy_kind}] =
            bounded(input.permille);
    }

private:
    static constexpr std::int64_t min_fault_permille = 1;
    static constexpr std::int64_t max_fault_permille = 100'000;

    static std::int64_t bounded(std::int64_t permille)
    {
        return std::clamp<std::int64_t>(permille, min_fault_permille,
                                        max_fault_permille);
    }

    worker_context& ctx_;
};

} // namespace

worker_effects reduce(worker_state& state, worker_event const& input,
                      time_ms now)
{
    worker_effects effects;
    worker_context ctx{state, now, effects};
    state.started_at = state.started_at.value_or(now);
    worker_progress::advance(ctx);
    worker_tasks::forget_old(ctx);
    std::visit(dispatcher(ctx), input);
    return effects;
}

time_ms next_timer(worker_state const& state)
{
    return worker_progress::next_due(state);
}

} // namespace jaydrift::standin
