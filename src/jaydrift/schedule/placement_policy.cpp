#include <jaydrift/schedule/placement_policy.hpp>

#include <jaydrift/schedule/kept_workers.hpp>
#include <jaydrift/schedule/memory_reclaim.hpp>
#include <jaydrift/schedule/minimum_runs.hpp>
#include <jaydrift/schedule/pace.hpp>
#include <jaydrift/schedule/placement_request.hpp>
#include <jaydrift/schedule/record_log.hpp>
#include <jaydrift/schedule/recovery.hpp>
#include <jaydrift/schedule/refused_requests.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/start_flow.hpp>
#include <jaydrift/schedule/submissions.hpp>
#include <jaydrift/schedule/tail_limits.hpp>
#include <jaydrift/schedule/task_placement.hpp>
#include <jaydrift/schedule/usable_workers.hpp>
#include <jaydrift/schedule/view_age.hpp>
#include <jaydrift/schedule/waiting_tasks.hpp>
#include <jaydrift/schedule/worker_choice.hpp>
#include <jaydrift/schedule/workers.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace jaydrift::schedule::placement_policy {

namespace {

/// Shortest time from the beginning of a full pass, which includes
/// opportunistic tasks, to that of the next one. They are rarer, since each
/// such task asks the interference model about every worker.
constexpr time_ms full_pass_interval{40};

/// The same of any two passes over the waiting tasks.
constexpr time_ms pass_interval{5};

/// A pass begins only when this many times the duration of the one before have
/// gone by since that one began, so that passes take at most half of the
/// control thread's time however long one takes; full passes less.
constexpr std::int64_t pass_spacing = 2;
constexpr std::int64_t full_pass_spacing = 3;

/// A pass that took longer does not count for these: the process was frozen,
/// and must not wait for as long again.
constexpr time_ms longest_pass{500};

/// Time after which there is a pass also without a change.
constexpr time_ms idle_pass_interval{100};

/// Bounds the starts of one pass, so that replies of workers are handled in
/// between.
constexpr std::size_t starts_per_pass = 64;

/// In the order of submissions, this many core-milliseconds of opportunistic
/// work left count like an objective that is 1 ms later. An average submission,
/// which has 190 core-seconds, comes 5 s after a tiny one.
constexpr std::int64_t core_ms_per_delay_ms = 40;

/// One pass over the waiting tasks.
struct placement_pass
{
    shard_context& ctx;

    /// Workers may run tasks of an earlier owner that are not known here.
    bool unaccounted = false;

    /// The pass includes opportunistic tasks. Gangs are in every pass.
    bool full = false;

    /// Time of the next pass if nothing changes before.
    time_ms next_pass;

    /// Start orders so far.
    std::size_t starts = 0;

    /// Requests that found no worker. Those of gangs are left out: the room of
    /// members that found one is given back.
    refused_requests refused;

    /// A submission that could still meet its objective was refused since its
    /// tasks would disturb serving tasks.
    bool work_in_time_waits = false;

    /// Memory was taken back from slow runs.
    bool made_room = false;

    /// Workers by what a request requires.
    usable_workers usable{ctx};
};

/// Returns 0 if the objective of a submission may still be met, 1 if it has
/// passed and the submission is worth less, 2 if the submission has taken three
/// times the time allowed and only has to be finished.
int lateness(shard_context const& ctx, submission_state const& submission)
{
    constexpr std::int64_t late_factor = 3;
    auto const left = submission.objective - ctx.now;
    if (left > time_ms(0))
    {
        return 0;
    }
    return -left.count()
                   < (late_factor - 1) * submission.terms.time_allowed.count()
               ? 1
               : 2;
}

/// Returns the tolerance for the tasks of a submission in this pass. Late work
/// may disturb more, but not while work in time finds no place.
double tolerance_of(placement_pass const& pass,
                    submission_state const& submission)
{
    return pass.work_in_time_waits
               ? tail_limits::start_in_time
               : worker_choice::tolerance_of(pass.ctx, submission);
}

bool has_long_running_steps(submission_state const& submission)
{
    return std::any_of(submission.work.steps.begin(),
                       submission.work.steps.end(),
                       [](auto const& step) { return step.long_running; });
}

/// Returns the opportunistic work that is left, in milliseconds of one core.
std::int64_t opportunistic_work_left(submission_state const& submission)
{
    constexpr std::int64_t millicores_per_core = 1000;
    std::int64_t result = 0;
    for (auto const& occurrence : submission.occurrences)
    {
        for (std::size_t i = 0; i < occurrence.steps.size(); ++i)
        {
            auto const& step = occurrence.steps[i];
            auto const& spec = submission.work.steps[i];
            if (spec.opportunistic)
            {
                result +=
                    static_cast<std::int64_t>(step.tasks.size() - step.done)
                    * spec.demand.millicores * spec.estimate.count()
                    / millicores_per_core;
            }
        }
    }
    return result;
}

/// Returns the rank of a submission; the lowest one is placed first.
/// Submissions are ordered by priority. Of one priority, those with
/// long-running tasks come first, since each second in which they do not serve
/// is lost; then those that can still meet their objective. Among these, less
/// work left counts like an earlier objective, so that more of them end in time
/// under overload; a large submission still comes before those that arrive much
/// later.
auto rank(shard_context const& ctx, submission_state const& submission)
{
    constexpr int before_all_others = -1;
    auto const delay =
        time_ms(opportunistic_work_left(submission) / core_ms_per_delay_ms);
    return std::make_tuple(submission.terms.priority,
                           has_long_running_steps(submission)
                               ? before_all_others
                               : lateness(ctx, submission),
                           submission.objective + delay);
}

/// Returns whether a task must not start now, and notes why it waits.
bool is_hindered(placement_pass& pass, step_state& step, task_state const& task)
{
    auto const held =
        task_placement::hindrance(pass.ctx, task, pass.unaccounted);
    if (!held)
    {
        return false;
    }
    step.reason = *held;
    if (*held == wait_reason::paused)
    {
        pass.next_pass = std::min(pass.next_pass, task.not_before);
    }
    return true;
}

/// Sends the start orders of all members of a gang under one run number, or
/// none if a member finds no worker. If a worker refuses its order, only that
/// member waits again; the workers end the others as `gang_incomplete`.
void start_gang(placement_pass& pass, submission_state& submission,
                std::uint32_t occurrence_index, std::uint32_t step_index)
{
    auto& ctx = pass.ctx;
    auto& step = submission.occurrences[occurrence_index].steps[step_index];
    auto const& spec = submission.work.steps[step_index];
    std::uint64_t number = 0;
    for (auto const& task : step.tasks)
    {
        if (!waits(task))
        {
            step.reason = wait_reason::incomplete_gang;
            return;
        }
        if (is_hindered(pass, step, task))
        {
            return;
        }
        number = std::max(number, task_placement::next_run(ctx, task));
    }
    auto const since = waiting_tasks::waiting_since(step, ctx.now);
    // If nothing of the submission has run for long, the gang starts wherever
    // it finds room, as a single task would; pacing slows it down.
    auto const starved =
        spec.opportunistic && minimum_runs::is_starved(ctx, submission);
    auto const phase_before = submission.phase;
    std::vector<std::pair<run_id, worker_state*>> members;
    for (std::uint32_t i = 0; i < step.tasks.size(); ++i)
    {
        task_id const id{submission.id, occurrence_index, step_index, i};
        placement_request request{id,
                                  spec,
                                  submission.terms.service,
                                  step.tasks[i].failed_on,
                                  step.tasks[i].waiting_since,
                                  worker_choice::rack_for(ctx, spec, step),
                                  tolerance_of(pass, submission)};
        request.pace_limit = starved ? minimum_pace : full_pace;
        auto const choice =
            worker_choice::choose(ctx, request, pass.usable.of(request));
        if (!choice.worker)
        {
            step.reason =
                i == 0 ? choice.refusal : wait_reason::incomplete_gang;
            break;
        }
        task_placement::reserve(ctx, submission, id, *choice.worker, number,
                                full_pace);
        members.emplace_back(run_id{id, number}, choice.worker);
    }
    auto const complete = members.size() == step.tasks.size();
    for (auto const& [id, worker] : members)
    {
        if (complete)
        {
            workers::start(ctx, *worker, id);
            ctx.observe("task_wait_ms", ctx.now - since);
            ++pass.starts;
        }
        else
        {
            workers::remove_run(*worker, id);
            submissions::withdraw_place(submission, id.task);
        }
    }
    if (complete)
    {
        record_log::changed(ctx, submission);
    }
    else
    {
        submission.phase = phase_before;
    }
}

/// Notes that tasks of a submission have found no place. Work in time that is
/// refused for other reasons than interference would not gain from what late
/// work leaves it.
void note_refusal(placement_pass& pass, submission_state const& submission,
                  wait_reason reason)
{
    pass.work_in_time_waits = pass.work_in_time_waits
                              || (lateness(pass.ctx, submission) == 0
                                  && (reason == wait_reason::tail
                                      || reason == wait_reason::leftover));
}

/// Takes memory back for a firm task that found no worker, once in a pass. Some
/// workers may have refused it for their processors, others for their memory.
void make_room(placement_pass& pass, placement_request const& request,
               wait_reason refusal)
{
    if (!request.spec.opportunistic && !pass.made_room
        && (refusal == wait_reason::memory
            || refusal == wait_reason::processors))
    {
        pass.made_room = memory_reclaim::make_room(pass.ctx, request,
                                                   pass.usable.of(request));
    }
}

/// Starts the tasks of a step that find a worker.
void start_step(placement_pass& pass, submission_state& submission,
                std::uint32_t occurrence_index, std::uint32_t step_index)
{
    auto& ctx = pass.ctx;
    auto& step = submission.occurrences[occurrence_index].steps[step_index];
    auto const& spec = submission.work.steps[step_index];
    std::size_t started = 0;
    if (spec.opportunistic && !pass.full)
    {
        return;
    }
    for (std::uint32_t i = 0; i < step.tasks.size(); ++i)
    {
        auto& task = step.tasks[i];
        if (!waits(task))
        {
            continue;
        }
        if (is_hindered(pass, step, task))
        {
            continue;
        }
        if (!start_flow::may_start(ctx))
        {
            step.reason = wait_reason::pass_ended;
            break;
        }
        task_id const id{submission.id, occurrence_index, step_index, i};
        placement_request const request{
            id,
            spec,
            submission.terms.service,
            task.failed_on,
            task.waiting_since,
            worker_choice::rack_for(ctx, spec, step),
            tolerance_of(pass, submission)};
        if (pass.refused.cover(request))
        {
            step.reason = wait_reason::skipped;
            break;
        }
        auto const choice =
            worker_choice::choose(ctx, request, pass.usable.of(request));
        if (!choice.worker)
        {
            step.reason = choice.refusal;
            make_room(pass, request, choice.refusal);
            pass.refused.add(request);
            note_refusal(pass, submission, choice.refusal);
            break;
        }
        ctx.observe("task_wait_ms",
                    ctx.now - waiting_tasks::waiting_since(step, task));
        auto const number = task_placement::next_run(ctx, task);
        task_placement::reserve(ctx, submission, id, *choice.worker, number,
                                full_pace);
        if (spec.long_running)
        {
            kept_workers::placed(ctx, id, *choice.worker);
        }
        submission.starved = false;
        workers::start(ctx, *choice.worker, {id, number});
        ++pass.starts;
        ++started;
    }
    if (started > 0)
    {
        ctx.log_work(
            log_level::info, "placement",
            submission.id + " step " + std::to_string(step_index) + ": started "
                + std::to_string(started) + " tasks, "
                + std::to_string(step.waiting_tasks) + " wait, due in "
                + std::to_string((submission.objective - ctx.now).count())
                + " ms, by " + view_age::workers_text(ctx));
        record_log::changed(ctx, submission);
    }
}

/// Notes that the pass has ended before the tasks of a submission.
void note_pass_ended(submission_state& submission)
{
    for (auto& occurrence : submission.occurrences)
    {
        for (auto& step : occurrence.steps)
        {
            if (step.ready)
            {
                step.reason = wait_reason::pass_ended;
            }
        }
    }
}

/// Starts the tasks of all ready steps of a submission that find a worker.
void start_tasks(placement_pass& pass, submission_state& submission)
{
    for (std::uint32_t occurrence_index = 0;
         occurrence_index < submission.occurrences.size(); ++occurrence_index)
    {
        for (std::uint32_t step_index = 0;
             step_index < submission.occurrences[occurrence_index].steps.size();
             ++step_index)
        {
            auto const& step =
                submission.occurrences[occurrence_index].steps[step_index];
            if (!step.ready || step.waiting_tasks == 0)
            {
                continue;
            }
            if (submission.work.steps[step_index].gang)
            {
                start_gang(pass, submission, occurrence_index, step_index);
            }
            else
            {
                start_step(pass, submission, occurrence_index, step_index);
            }
        }
    }
}

/// Returns whether tasks wait that do not need a full pass.
bool has_firm_tasks_waiting(submission_state const& submission)
{
    auto const& specs = submission.work.steps;
    for (auto const& occurrence : submission.occurrences)
    {
        for (std::size_t i = 0; i < occurrence.steps.size(); ++i)
        {
            auto const& step = occurrence.steps[i];
            if (step.ready && step.waiting_tasks > 0
                && (!specs[i].opportunistic || specs[i].gang))
            {
                return true;
            }
        }
    }
    return false;
}

/// Returns whether a pass has to consider the submission.
bool takes_part(submission_state const& submission, bool full)
{
    return submission.record_stored
           && (full ? submission.waiting_tasks > 0 || submission.minimum_run
                    : submission.waiting_tasks > 0
                          && has_firm_tasks_waiting(submission));
}

/// Returns the submissions that a pass has to consider, in the order of their
/// ranks.
std::vector<submission_state*> waiting_by_rank(shard_context& ctx, bool full)
{
    using ranked =
        std::pair<decltype(rank(ctx, std::declval<submission_state>())),
                  submission_state*>;
    std::vector<ranked> waiting;
    for (auto const& id : ctx.shard.active)
    {
        auto* const submission = submissions::find(ctx, id);
        if (takes_part(*submission, full))
        {
            waiting.emplace_back(rank(ctx, *submission), submission);
        }
    }
    std::sort(waiting.begin(), waiting.end(),
              [](auto const& a, auto const& b) { return a.first < b.first; });
    std::vector<submission_state*> result;
    result.reserve(waiting.size());
    for (auto const& [order, submission] : waiting)
    {
        result.push_back(submission);
    }
    return result;
}

/// Returns the earliest time of the next full pass.
time_ms next_full_pass_at(shard_state const& shard)
{
    return shard.last_full_pass
           + std::max(full_pass_interval,
                      shard.last_full_pass_took * full_pass_spacing);
}

} // namespace

time_ms next_pass_at(shard_state const& shard)
{
    auto const earliest =
        shard.last_pass
        + std::max(pass_interval, shard.last_pass_took * pass_spacing);
    return shard.placement_due ? earliest : std::max(earliest, shard.next_pass);
}

void note_duration(shard_state& shard, time_ms last_pass_took)
{
    shard.last_pass_took =
        last_pass_took < longest_pass ? last_pass_took : time_ms(0);
    if (shard.last_full_pass == shard.last_pass)
    {
        shard.last_full_pass_took = shard.last_pass_took;
    }
}

void tick(shard_context& ctx)
{
    auto& shard = ctx.shard;
    if (shard.ownership.role != owner_role::owner || !ctx.state.config
        || ctx.now < next_pass_at(shard))
    {
        return;
    }
    shard.last_pass = ctx.now;
    shard.placement_due = false;
    placement_pass pass{ctx,
                        recovery::any_worker_unaccounted(ctx),
                        ctx.now >= next_full_pass_at(shard),
                        ctx.now + idle_pass_interval,
                        0,
                        {},
                        false,
                        false};
    if (pass.full)
    {
        shard.last_full_pass = ctx.now;
    }
    else
    {
        // The change that led to this pass may concern opportunistic tasks.
        pass.next_pass = next_full_pass_at(shard);
    }
    auto const waiting = waiting_by_rank(ctx, pass.full);
    kept_workers::update(ctx, waiting, pass.unaccounted);
    for (auto* const submission : waiting)
    {
        if (pass.full && submission->minimum_run)
        {
            minimum_runs::raise(ctx, *submission,
                                pass.work_in_time_waits
                                    ? tail_limits::start_in_time
                                    : tail_limits::raise);
        }
        if (pass.starts >= starts_per_pass)
        {
            shard.placement_due = true;
        }
        if (pass.starts >= starts_per_pass || !start_flow::may_start(ctx))
        {
            note_pass_ended(*submission);
            continue;
        }
        start_tasks(pass, *submission);
    }
    if (pass.full && start_flow::may_start(ctx))
    {
        minimum_runs::start(ctx, waiting, pass.unaccounted);
    }
    shard.next_pass = pass.next_pass;
}

} // namespace jaydrift::schedule::placement_policy
