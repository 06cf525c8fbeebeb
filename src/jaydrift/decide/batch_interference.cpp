#include <jaydrift/decide/batch_steps.hpp>

#include <jaydrift/decide/batch.hpp>
#include <jaydrift/decide/ownership.hpp>
#include <jaydrift/decide/policy.hpp>

#include <algorithm>

namespace jaydrift::decide::batch {

namespace {

/// Urgent work is slow above the first value, and fast again below the second;
/// in thousandths of the run time on an idle VM.
constexpr std::int64_t high_slowdown_permille = 1500;
constexpr std::int64_t low_slowdown_permille = 1200;

/// Number of reports in a row that must agree before a step is taken. One
/// report, which lags, may show a short peak.
constexpr std::uint32_t min_agreeing_reports = 2;

using mitigation = interference_state::mitigation;

/// Returns the worst slowdown of urgent work in thousandths, or 0 if none runs.
std::int64_t worst_slowdown(daemon_state const& state,
                            usage_report const& report)
{
    std::int64_t worst_permille = 0;
    for (auto const& usage : report.tasks)
    {
        auto const* const kind = policy::find_kind(state, usage.kind);
        if (kind != nullptr && kind->priority == task_class::urgent)
        {
            worst_permille = std::max(worst_permille, usage.slowdown_permille);
        }
    }
    return worst_permille;
}

void count_report(interference_state& interference,
                  std::int64_t slowdown_permille)
{
    interference.slow_reports = slowdown_permille > high_slowdown_permille
                                    ? interference.slow_reports + 1
                                    : 0;
    interference.fast_reports = slowdown_permille < low_slowdown_permille
                                    ? interference.fast_reports + 1
                                    : 0;
}

/// Takes one step against interference on a worker.
class mitigation_step
{
public:
    mitigation_step(context& ctx, worker_batch& worker,
                    usage_report const& report)
        : ctx_(ctx), worker_(worker), report_(report)
    {
    }

    /// Takes the next step against the victim, or chooses a victim and
    /// throttles it.
    void escalate()
    {
        auto& interference = worker_.interference;
        auto victim = find_running(interference.victim);
        if (!victim)
        {
            victim = choose_victim();
            interference.next_step = mitigation::throttle;
            interference.victim =
                victim ? task_id(victim->job, victim->index) : std::string();
        }
        if (victim)
        {
            apply_next(*victim);
        }
    }

    /// Releases one throttled task.
    void relax()
    {
        worker_.interference.victim.clear();
        for (auto const& ref : worker_.placed)
        {
            auto const found = find_task(ctx_, ref);
            if (found && found.task->throttled
                && !found.task->control_in_flight)
            {
                return send(ref, task_action::unthrottle);
            }
        }
    }

private:
    /// Returns the task if a step may still act on it.
    std::optional<task_ref> find_running(std::string const& id) const
    {
        for (auto const& ref : worker_.placed)
        {
            if (task_id(ref.job, ref.index) == id && eligible(ref))
            {
                return ref;
            }
        }
        return std::nullopt;
    }

    bool eligible(task_ref const& ref) const
    {
        auto const found = find_task(ctx_, ref);
        return found && found.task->phase == task_phase::running
               && !found.task->evicting && !found.job->cancelled;
    }

    /// Returns the task that uses most processor time, from background tasks if
    /// there are any.
    std::optional<task_ref> choose_victim() const
    {
        std::optional<task_ref> best;
        std::pair<bool, std::int64_t> best_rank;
        for (auto const& ref : worker_.placed)
        {
            if (!eligible(ref))
            {
                continue;
            }
            auto const found = find_task(ctx_, ref);
            std::pair const rank(found.job->priority == task_class::background,
                                 measured_millicores(ref));
            if (!best || rank > best_rank)
            {
                best = ref;
                best_rank = rank;
            }
        }
        return best;
    }

    std::int64_t measured_millicores(task_ref const& ref) const
    {
        auto const id = task_id(ref.job, ref.index);
        for (auto const& usage : report_.tasks)
        {
            if (usage.task == id)
            {
                return usage.millicores;
            }
        }
        return 0;
    }

    void apply_next(task_ref const& ref)
    {
        switch (worker_.interference.next_step)
        {
        case mitigation::throttle:
            worker_.interference.next_step = mitigation::checkpoint;
            return send(ref, task_action::throttle);
        case mitigation::checkpoint:
            worker_.interference.next_step = mitigation::evict;
            return send(ref, task_action::checkpoint);
        case mitigation::evict:
            worker_.interference.victim.clear();
            return send(ref, task_action::evict);
        }
    }

    void send(task_ref const& ref, task_action action)
    {
        auto const found = find_task(ctx_, ref);
        shard_scope const scope{ctx_, ref.shard, *find_shard(ctx_, ref.shard)};
        ctx_.add_timeline_event("interference_step", {},
                                task_id(ref.job, ref.index),
                                std::to_string(static_cast<int>(action)));
        send_control(scope, *found.job, ref.index, action);
    }

    context& ctx_;
    worker_batch& worker_;
    usage_report const& report_;
};

} // namespace

void on_usage(context& ctx, std::string_view worker, usage_report const& report)
{
    auto const known = ctx.state.batch.workers.find(worker);
    if (known == ctx.state.batch.workers.end()
        || report.generation <= known->second.interference.generation)
    {
        return;
    }
    auto& interference = known->second.interference;
    interference.generation = report.generation;
    count_report(interference, worst_slowdown(ctx.state, report));
    if (!ownership::may_start(ctx.state, worker, ctx.now))
    {
        return;
    }
    mitigation_step step(ctx, known->second, report);
    if (interference.slow_reports >= min_agreeing_reports)
    {
        step.escalate();
    }
    else if (interference.fast_reports >= min_agreeing_reports)
    {
        step.relax();
    }
}

} // namespace jaydrift::decide::batch
