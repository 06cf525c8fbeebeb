#include <jaydrift/schedule/waiting_tasks.hpp>

#include <jaydrift/schedule/placement_request.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/submissions.hpp>
#include <jaydrift/schedule/worker_choice.hpp>
#include <jaydrift/schedule/worker_survey.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <numeric>
#include <string>
#include <utility>
#include <vector>

namespace jaydrift::schedule::waiting_tasks {

namespace {

/// Time between two searches for steps to report.
constexpr time_ms search_interval{1000};

/// A search that is due comes after the next full pass, or after this time.
constexpr time_ms max_wait_for_pass{200};

/// A step is reported once a task of it has waited for this long, and again
/// when that time has doubled.
constexpr time_ms min_reported_wait{5000};

/// Lines about steps in one search. Others that are due come in later ones.
constexpr std::size_t lines_per_search = 20;

/// A ready step with waiting tasks. Does not own the submission.
struct waiting_step
{
    submission_state* submission = nullptr;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    /// Index of the task that has waited longest, and since when.
    std::uint32_t first_task = 0;
    time_ms since;

    wait_reason reason = wait_reason::not_tried;

    step_state& state() const
    {
        return submission->occurrences[occurrence].steps[step];
    }
    step_spec const& spec() const { return submission->work.steps[step]; }
    std::string name() const
    {
        return submission->id + '.' + std::to_string(occurrence) + '.'
               + std::to_string(step);
    }
};

/// Time between two lines with the numbers of tasks that have waited for
/// `medium_wait` or more.
constexpr time_ms summary_interval{5000};

/// Bounds of the ranges of `wait_counts`.
constexpr time_ms short_wait{1000};
constexpr time_ms medium_wait{10000};

/// Sets `first_task` and `since`.
void find_first_task(waiting_step& waiting, time_ms now)
{
    auto const& step = waiting.state();
    waiting.since = now;
    for (std::uint32_t i = 0; i < step.tasks.size(); ++i)
    {
        auto const since = waiting_since(step, step.tasks[i]);
        if (waits(step.tasks[i]) && since < waiting.since)
        {
            waiting.first_task = i;
            waiting.since = since;
        }
    }
}

wait_reason reason_of(shard_context const& ctx,
                      submission_state const& submission,
                      step_state const& step)
{
    if (ctx.shard.ownership.role != owner_role::owner)
    {
        return wait_reason::not_owner;
    }
    return submission.record_stored ? step.reason : wait_reason::not_stored;
}

/// Returns the ready steps of a shard that have waiting tasks.
std::vector<waiting_step> waiting_steps(shard_context& ctx)
{
    std::vector<waiting_step> result;
    for (auto const& id : ctx.shard.active)
    {
        auto* const submission = submissions::find(ctx, id);
        for (std::uint32_t i = 0; i < submission->occurrences.size(); ++i)
        {
            auto const& steps = submission->occurrences[i].steps;
            for (std::uint32_t j = 0; j < steps.size(); ++j)
            {
                if (!steps[j].ready || steps[j].waiting_tasks == 0)
                {
                    continue;
                }
                waiting_step each;
                each.submission = submission;
                each.occurrence = i;
                each.step = j;
                each.reason = reason_of(ctx, *submission, steps[j]);
                find_first_task(each, ctx.now);
                result.push_back(each);
            }
        }
    }
    return result;
}

/// Returns the step whose refusal made the pass skip this one, as
/// `refused_requests` compares them; null if it is not known any more.
waiting_step const* refused_before(std::vector<waiting_step> const& all,
                                   waiting_step const& skipped)
{
    auto const& spec = skipped.spec();
    auto const found =
        std::find_if(all.begin(), all.end(), [&](auto const& each) {
            auto const& other = each.spec();
            return is_refusal(each.reason) && other.max_per_worker == 0
                   && each.submission->terms.service
                          == skipped.submission->terms.service
                   && (other.required_label.empty()
                       || other.required_label == spec.required_label)
                   && fits(other.demand, spec.demand)
                   && (is_urgent(spec)
                           ? is_urgent(other)
                           : other.opportunistic && other.image == spec.image);
        });
    return found == all.end() ? nullptr : &*found;
}

std::string reason_text(std::vector<waiting_step> const& all,
                        waiting_step const& waiting)
{
    std::string result(name_of(waiting.reason));
    if (waiting.reason == wait_reason::skipped)
    {
        auto const* const refused = refused_before(all, waiting);
        result += " after "
                  + (refused ? refused->name() + ", "
                                   + std::string(name_of(refused->reason))
                             : "another step");
    }
    return result;
}

std::string percent(double share)
{
    constexpr double whole = 100.0;
    return std::to_string(std::lround(share * whole)) + " %";
}

std::string survey_text(worker_survey const& survey)
{
    return "of " + std::to_string(survey.matching) + " workers "
           + std::to_string(survey.usable) + " usable, "
           + std::to_string(survey.with_memory) + " with memory, "
           + std::to_string(survey.with_processors) + " with processors, "
           + std::to_string(survey.suitable) + " suitable";
}

/// Writes the line about a step: a warning if a worker has the memory that it
/// needs.
void report(shard_context& ctx, std::vector<waiting_step> const& all,
            waiting_step const& waiting)
{
    auto& step = waiting.state();
    auto const& task = step.tasks[waiting.first_task];
    placement_request const request{
        {waiting.submission->id, waiting.occurrence, waiting.step,
         waiting.first_task},
        waiting.spec(),
        waiting.submission->terms.service,
        task.failed_on,
        task.waiting_since,
        {},
        worker_choice::tolerance_of(ctx, *waiting.submission)};
    auto const survey = worker_choice::survey(ctx, request);
    auto const waited = ctx.now - waiting.since;
    auto text = waiting.name() + ": " + std::to_string(step.waiting_tasks)
                + " tasks wait, task " + std::to_string(waiting.first_task)
                + " for " + std::to_string(waited.count()) + " ms, reason "
                + reason_text(all, waiting) + "; needs "
                + std::to_string(waiting.spec().demand.millicores)
                + " millicores and "
                + std::to_string(waiting.spec().demand.memory_mb) + " MB; "
                + survey_text(survey);
    if (survey.lowest_tail)
    {
        text += "; lowest expected tail " + percent(*survey.lowest_tail)
                + " of its target, tolerance " + percent(request.tolerance);
    }
    ctx.log_work(survey.with_memory > 0 ? log_level::warning : log_level::info,
                 "placement", std::move(text));
    step.next_wait_line = ctx.now + waited;
}

/// Reports the steps whose line is due, those first that are due longest.
void report_due(shard_context& ctx, std::vector<waiting_step> const& all)
{
    std::vector<waiting_step const*> due;
    for (auto const& each : all)
    {
        if (ctx.now - each.since >= min_reported_wait
            && ctx.now >= each.state().next_wait_line)
        {
            due.push_back(&each);
        }
    }
    auto const due_at = [](waiting_step const* each) {
        return std::max(each->state().next_wait_line,
                        each->since + min_reported_wait);
    };
    std::sort(due.begin(), due.end(), [&due_at](auto const* a, auto const* b) {
        return due_at(a) < due_at(b);
    });
    auto const reported = std::min(due.size(), lines_per_search);
    for (std::size_t i = 0; i < reported; ++i)
    {
        report(ctx, all, *due[i]);
    }
    if (due.size() > reported)
    {
        ctx.log_work(log_level::warning, "placement",
                     std::to_string(due.size() - reported)
                         + " more steps have waited for long");
    }
}

wait_counts::by_reason& range_of(wait_counts& counts, time_ms waited)
{
    return waited < short_wait    ? counts.below_1_s
           : waited < medium_wait ? counts.below_10_s
                                  : counts.from_10_s;
}

/// Counts the waiting tasks. The members of a gang wait as long as the one that
/// has waited longest, since a failed attempt to place them counts as a place.
wait_counts count(std::vector<waiting_step> const& all, time_ms now)
{
    wait_counts result;
    for (auto const& each : all)
    {
        auto const& step = each.state();
        for (auto const& task : step.tasks)
        {
            if (waits(task))
            {
                auto const since =
                    each.spec().gang ? each.since : waiting_since(step, task);
                ++range_of(result,
                           now - since)[static_cast<std::size_t>(each.reason)];
            }
        }
    }
    return result;
}

void add(wait_counts::by_reason& sum, wait_counts::by_reason const& other)
{
    std::transform(sum.begin(), sum.end(), other.begin(), sum.begin(),
                   std::plus<>());
}

/// Sets the gauges whose value has changed.
void show(shard_context& ctx)
{
    wait_counts sum;
    for (auto const& shard : ctx.state.shards)
    {
        add(sum.below_1_s, shard.waiting.below_1_s);
        add(sum.below_10_s, shard.waiting.below_10_s);
        add(sum.from_10_s, shard.waiting.from_10_s);
    }
    auto const shown = std::exchange(ctx.state.shown_waiting, sum);
    for (std::size_t i = 0; i < wait_reasons; ++i)
    {
        auto const name = name_of(static_cast<wait_reason>(i));
        if (sum.below_1_s[i] != shown.below_1_s[i])
        {
            ctx.gauge("tasks_waiting_below_1_s", name, sum.below_1_s[i]);
        }
        if (sum.below_10_s[i] != shown.below_10_s[i])
        {
            ctx.gauge("tasks_waiting_below_10_s", name, sum.below_10_s[i]);
        }
        if (sum.from_10_s[i] != shown.from_10_s[i])
        {
            ctx.gauge("tasks_waiting_from_10_s", name, sum.from_10_s[i]);
        }
    }
}

/// Writes how many tasks have waited for long, and why.
void summarize(shard_context& ctx)
{
    auto const& counts = ctx.shard.waiting.from_10_s;
    std::string reasons;
    for (std::size_t i = 0; i < wait_reasons; ++i)
    {
        if (counts[i] > 0)
        {
            reasons += ", ";
            reasons += name_of(static_cast<wait_reason>(i));
            reasons += ' ' + std::to_string(counts[i]);
        }
    }
    if (reasons.empty() || ctx.now < ctx.shard.next_wait_summary)
    {
        return;
    }
    ctx.shard.next_wait_summary = ctx.now + summary_interval;
    auto const sum =
        std::accumulate(counts.begin(), counts.end(), std::int64_t{0});
    ctx.log(log_level::info, "placement",
            std::to_string(sum) + " tasks have waited for "
                + std::to_string(medium_wait.count()) + " ms or more"
                + reasons);
}

} // namespace

time_ms waiting_since(step_state const& step, task_state const& task)
{
    return std::max(step.ready_since, task.waiting_since);
}

time_ms waiting_since(step_state const& step, time_ms now)
{
    auto result = now;
    for (auto const& task : step.tasks)
    {
        if (waits(task))
        {
            result = std::min(result, waiting_since(step, task));
        }
    }
    return result;
}

void tick(shard_context& ctx)
{
    auto const due_at = ctx.shard.next_wait_search;
    if (ctx.now < due_at
        || (ctx.shard.last_full_pass != ctx.now
            && ctx.now - due_at < max_wait_for_pass))
    {
        return;
    }
    ctx.shard.next_wait_search = ctx.now + search_interval;
    std::vector<waiting_step> all;
    if (holds_shard(ctx.shard.ownership.role))
    {
        all = waiting_steps(ctx);
    }
    report_due(ctx, all);
    ctx.shard.waiting = count(all, ctx.now);
    show(ctx);
    summarize(ctx);
}

} // namespace jaydrift::schedule::waiting_tasks
