#include <jaydrift/decide/batch_steps.hpp>

#include <algorithm>

namespace jaydrift::decide::batch {

namespace {

/// Declared run times are off by 0.1 to 10 times.
constexpr std::int64_t min_ratio = 100;
constexpr std::int64_t max_ratio = 10'000;

/// Weight of what was observed before, against one new observation.
constexpr std::int64_t old_weight = 7;

} // namespace

void observe_run(context& ctx, batch_job const& job, batch_task const& task)
{
    auto const elapsed = (ctx.now - task.started_at).count();
    auto const declared =
        std::max<std::int64_t>(1, job.spec.run_time_ms - task.checkpoint_ms);
    auto const ratio =
        std::clamp(elapsed * 1000 / declared, min_ratio, max_ratio);
    auto& estimate = ctx.state.batch.estimates[job.spec.kind];
    auto const weight = std::min<std::int64_t>(estimate.samples, old_weight);
    estimate.ratio_permille =
        (estimate.ratio_permille * weight + ratio) / (weight + 1);
    ++estimate.samples;
    ctx.emit(observe{"batch_run_ms", elapsed});
}

time_ms expected_end(daemon_state const& state, batch_job const& job,
                     batch_task const& task)
{
    auto const known = state.batch.estimates.find(job.spec.kind);
    auto const ratio = known == state.batch.estimates.end()
                           ? 1000
                           : known->second.ratio_permille;
    auto const left =
        std::max<std::int64_t>(0, job.spec.run_time_ms - task.checkpoint_ms);
    return task.started_at + time_ms(left * ratio / 1000);
}

} // namespace jaydrift::decide::batch
