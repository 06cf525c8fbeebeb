#include <jaydrift/schedule/gauge_update.hpp>
#include <jaydrift/schedule/log_line.hpp>
#include <jaydrift/schedule/metric_update.hpp>
#include <jaydrift/schedule/pacing.hpp>
#include <jaydrift/schedule/placement_policy.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/submission_record.hpp>
#include <jaydrift/schedule/submissions.hpp>
#include <jaydrift/schedule/waiting_tasks.hpp>
#include <jaydrift/schedule/workers.hpp>

#include <algorithm>

#include <gtest/gtest.h>

namespace jaydrift::schedule {

namespace {

constexpr char const* first_id = "00000000000000a1";
constexpr char const* second_id = "00000000000000b2";

/// Workers of 8 processors and 64 GB.
constexpr resources worker_capacity{8000, 64000, 0};

/// A shard whose owner is this daemon, with workers that answer nothing. Time
/// passes in passes only.
class waiting : public ::testing::Test
{
protected:
    waiting()
    {
        state_.config.emplace();
        state_.config->queues.push_back({"batch", "jobs.example", "/batch/",
                                         "svc", 0, 3, 2.0, time_ms(1000)});
        state_.shards.resize(1);
        shard().ownership.role = owner_role::owner;
    }

    shard_state& shard() { return state_.shards[0]; }

    shard_context context()
    {
        return {schedule::context{state_, now_, effects_}, shard()};
    }

    worker_state& add_worker(std::string const& id)
    {
        auto& worker = shard().workers[id];
        worker.entry.id = id;
        worker.entry.service = "svc";
        worker.entry.address = "10.1.0.1:8000";
        worker.entry.capacity = worker_capacity;
        worker.in_fleet_record = true;
        worker.fenced = true;
        worker.clock = time_ms(0);
        return worker;
    }

    /// Adds a run that serves with the given tail latency, relative to its
    /// target.
    void serve(worker_state& worker, double relative_tail)
    {
        constexpr time_ms target{100};
        run_state run;
        run.phase = run_phase::running;
        run.demand = {1000, 1000, 0};
        run.long_running = true;
        run.image = "server";
        run.latency_target = target;
        run.load = static_cast<std::int64_t>(
            relative_tail * static_cast<double>(target.count()));
        workers::add_run(worker, {{"server", 0, 0, 0}, 1}, run);
    }

    submission_state& submit(std::string const& id, submission work)
    {
        auto ctx = context();
        auto& added =
            submissions::add(ctx, {id, "batch", now_, std::move(work)});
        added.record_stored = true;
        return added;
    }

    /// Adds a submission of which a task runs, the first one of the given step.
    /// Its worker takes no other task.
    submission_state& submit_running(std::string const& id, submission work,
                                     std::uint32_t step = 0)
    {
        auto& added = submit(id, std::move(work));
        auto& worker = add_worker("other");
        worker.entry.service = "other";
        task_id const running{id, 0, step, 0};
        submissions::find_task(added, running)->place =
            placement{worker.entry.id, 1};
        submissions::placed(added, running);
        auto run = workers::reservation(added, step);
        run.phase = run_phase::running;
        workers::add_run(worker, {running, 1}, std::move(run));
        return added;
    }

    /// Lets time pass, with a pass every 50 ms.
    void run_for(time_ms length)
    {
        constexpr time_ms interval{50};
        for (auto const end = now_ + length; now_ < end;)
        {
            now_ += interval;
            auto ctx = context();
            ctx.shard.placement_due = true;
            placement_policy::tick(ctx);
            waiting_tasks::tick(ctx);
        }
    }

    /// Returns the log lines that contain the text.
    std::vector<log_line> lines_with(std::string_view text) const
    {
        std::vector<log_line> result;
        for (auto const& each : effects_)
        {
            auto const* const line = std::get_if<log_line>(&each);
            if (line && line->text.find(text) != std::string::npos)
            {
                result.push_back(*line);
            }
        }
        return result;
    }

    /// Expects a line about a step that contains all the texts.
    void expect_line(std::string const& step, log_level level,
                     std::vector<std::string> const& texts) const
    {
        auto const found = lines_with(step + ": ");
        ASSERT_FALSE(found.empty()) << step;
        EXPECT_EQ(found[0].level, level) << found[0].text;
        for (auto const& text : texts)
        {
            EXPECT_NE(found[0].text.find(text), std::string::npos)
                << text << ": " << found[0].text;
        }
    }

    /// Returns the last value of a gauge; 0 if it was never set.
    std::int64_t gauge(std::string_view name, std::string_view type) const
    {
        std::int64_t result = 0;
        for (auto const& each : effects_)
        {
            auto const* const update = std::get_if<gauge_update>(&each);
            if (update && update->name == name && update->type == type)
            {
                result = update->value;
            }
        }
        return result;
    }

    /// Returns the samples of a histogram; -1 for each increment of a counter.
    std::vector<std::int64_t> samples(std::string_view name) const
    {
        std::vector<std::int64_t> result;
        for (auto const& each : effects_)
        {
            auto const* const update = std::get_if<metric_update>(&each);
            if (update && update->name == name)
            {
                result.push_back(update->value);
            }
        }
        return result;
    }

    daemon_state state_;
    time_ms now_{1000};
    effect_list effects_;
};

/// Returns a number as the ID of a submission.
std::string id_of(int number)
{
    auto text = std::to_string(number);
    return std::string(16 - text.size(), '0') + text;
}

/// Returns a submission of one step.
submission work_of(std::uint32_t count, resources demand, bool opportunistic)
{
    submission work;
    step_spec step;
    step.count = count;
    step.demand = demand;
    step.estimate = time_ms(500);
    step.image = "cook";
    step.opportunistic = opportunistic;
    work.steps.push_back(step);
    return work;
}

} // namespace

// Guards against opportunistic tasks that are refused for as long as serving
// tasks suffer, without a line that says so: on every worker, the tail latency
// is above the tolerance.
TEST_F(waiting, a_refusal_for_the_tail_is_logged)
{
    serve(add_worker("w0"), 1.2);
    serve(add_worker("w1"), 0.9);
    submit_running(first_id, work_of(5, {1000, 1000, 0}, true));
    run_for(time_ms(7000));
    expect_line(std::string(first_id) + ".0.0", log_level::warning,
                {"4 tasks wait, task 1 for ", "reason tail;",
                 "of 2 workers 2 usable, 2 with memory, 2 with processors, "
                 "0 suitable",
                 "lowest expected tail 116 % of its target, tolerance "});
    EXPECT_EQ(gauge("tasks_waiting_below_10_s", "tail"), 4);
    EXPECT_EQ(gauge("tasks_waiting_from_10_s", "tail"), 0);
}

// Guards against opportunistic tasks that wait for processors without a line
// that says so.
TEST_F(waiting, a_refusal_for_the_processors_left_over_is_logged)
{
    run_state run;
    run.demand = {7800, 1000, 0};
    workers::add_run(add_worker("w0"), {{"urgent", 0, 0, 0}, 1}, run);
    submit_running(first_id, work_of(2, {1000, 1000, 0}, true));
    run_for(time_ms(7000));
    expect_line(std::string(first_id) + ".0.0", log_level::warning,
                {"reason leftover;", "1 with memory, 0 with processors"});
    EXPECT_EQ(gauge("tasks_waiting_below_10_s", "leftover"), 1);
}

// Guards against a step that is skipped because of what another one found, and
// that looks as if it had been refused itself.
TEST_F(waiting, a_skipped_step_names_the_one_that_was_refused)
{
    serve(add_worker("w0"), 1.2);
    submit_running(first_id, work_of(2, {1000, 1000, 0}, true));
    submit_running(second_id, work_of(3, {1000, 1000, 0}, true));
    run_for(time_ms(7000));
    expect_line(std::string(second_id) + ".0.0", log_level::warning,
                {"2 tasks wait", "reason skipped after " + std::string(first_id)
                                     + ".0.0, tail;"});
    EXPECT_EQ(gauge("tasks_waiting_below_10_s", "skipped"), 2);
}

// Guards against an owner that offers no worker and does not say so: they are
// blocked, silent, or missing from the fleet record.
TEST_F(waiting, missing_workers_are_logged)
{
    add_worker("w0").blocked_until = time_ms(1000000);
    add_worker("w1").unanswered_orders = 1;
    add_worker("w2").in_fleet_record = false;
    submit(first_id, work_of(1, {1000, 1000, 0}, true));
    submit(second_id, work_of(1, {1000, 1000, 0}, false));
    run_for(time_ms(7000));
    for (std::string const id : {first_id, second_id})
    {
        expect_line(
            id + ".0.0", log_level::warning,
            {"no_usable_worker", "of 3 workers 0 usable, 3 with memory"});
    }
}

// Guards against a line that blames the workers while the daemon does not serve
// its shard.
TEST_F(waiting, an_owner_that_does_not_serve_is_logged)
{
    add_worker("w0");
    submit(first_id, work_of(1, {1000, 1000, 0}, false));
    shard().ownership.role = owner_role::suspended;
    run_for(time_ms(7000));
    expect_line(std::string(first_id) + ".0.0", log_level::warning,
                {"reason not_owner;", "1 suitable"});
    EXPECT_EQ(gauge("tasks_waiting_below_10_s", "not_owner"), 1);
}

// Guards against a submission that waits for the store without a line that says
// so.
TEST_F(waiting, a_submission_that_is_not_stored_is_logged)
{
    add_worker("w0");
    submit(first_id, work_of(1, {1000, 1000, 0}, false)).record_stored = false;
    run_for(time_ms(7000));
    expect_line(std::string(first_id) + ".0.0", log_level::warning,
                {"reason not_stored;"});
}

// Guards against warnings about tasks that no worker could hold: they wait for
// room, and nothing is wrong.
TEST_F(waiting, a_lack_of_memory_is_no_warning)
{
    add_worker("w0");
    submit(first_id, work_of(1, {1000, 65000, 0}, false));
    run_for(time_ms(7000));
    expect_line(std::string(first_id) + ".0.0", log_level::info,
                {"reason memory;", "1 usable, 0 with memory"});
}

// Guards against the refusal of a worker that is far from suitable hiding that
// of one which came nearer.
TEST_F(waiting, the_refusal_of_the_nearest_worker_counts)
{
    add_worker("w0").entry.service = "other";
    add_worker("w1").listed = false;
    add_worker("w2").entry.capacity.memory_mb = 500;
    run_state run;
    run.demand = {8000, 1000, 0};
    workers::add_run(add_worker("w3"), {{"urgent", 0, 0, 0}, 1}, run);
    add_worker("w4").entry.capacity.memory_mb = 500;
    submit(first_id, work_of(1, {1000, 1000, 0}, false));
    run_for(time_ms(7000));
    expect_line(std::string(first_id) + ".0.0", log_level::warning,
                {"reason processors;",
                 "of 4 workers 3 usable, 2 with memory, 3 with processors"});
}

// Guards against a gang whose members never find room all together, and against
// a wait that begins anew with each attempt to place them.
TEST_F(waiting, an_incomplete_gang_is_logged)
{
    add_worker("w0");
    auto work = work_of(9, {1000, 1000, 0}, false);
    work.steps[0].gang = true;
    submit(first_id, work);
    run_for(time_ms(12000));
    expect_line(std::string(first_id) + ".0.0", log_level::warning,
                {"9 tasks wait, task 0 for ", "reason incomplete_gang;"});
    EXPECT_EQ(gauge("tasks_waiting_from_10_s", "incomplete_gang"), 9);
}

// Guards against a wait that counts the time in which the step was not ready:
// the tasks of the second step wait from the end of the first one on.
TEST_F(waiting, a_step_waits_from_when_it_is_ready)
{
    serve(add_worker("w0"), 1.2);
    auto work = work_of(1, {1000, 1000, 0}, false);
    work.steps.push_back(work_of(1, {1000, 1000, 0}, true).steps[0]);
    work.steps[1].after = {0};
    work.steps.push_back(work_of(1, {1000, 1000, 0}, true).steps[0]);
    auto& submission = submit_running(first_id, work, 2);
    run_for(time_ms(6000));
    ASSERT_TRUE(submission.occurrences[0].steps[0].tasks[0].place);
    auto ctx = context();
    submissions::finish_task(ctx, submission, {first_id, 0, 0, 0});
    run_for(time_ms(4000));
    EXPECT_TRUE(lines_with("tasks wait, ").empty());
    EXPECT_EQ(gauge("tasks_waiting_below_10_s", "tail"), 1);
    run_for(time_ms(3000));
    expect_line(std::string(first_id) + ".0.1", log_level::warning, {"tail"});
}

// Guards against a histogram that measures from the arrival of a submission
// instead of from when the task could have started.
TEST_F(waiting, the_time_to_the_start_is_measured)
{
    add_worker("w0").blocked_until = now_ + time_ms(3000);
    submit(first_id, work_of(2, {1000, 1000, 0}, false));
    run_for(time_ms(4000));
    EXPECT_EQ(samples("task_wait_ms"), (std::vector<std::int64_t>{3000, 3000}));
}

// Guards against gauges that stay as they were when nothing waits any more.
TEST_F(waiting, gauges_fall_to_0)
{
    add_worker("w0").blocked_until = now_ + time_ms(3000);
    submit(first_id, work_of(2, {1000, 1000, 0}, false));
    run_for(time_ms(2500));
    EXPECT_EQ(gauge("tasks_waiting_below_10_s", "no_usable_worker"), 2);
    run_for(time_ms(2000));
    EXPECT_EQ(gauge("tasks_waiting_below_10_s", "no_usable_worker"), 0);
}

// Guards against a log that fills up with the same steps under overload, and
// against steps that never get a line because others always come first.
TEST_F(waiting, lines_are_bounded_and_each_step_gets_one)
{
    serve(add_worker("w0"), 1.2);
    constexpr auto submitted = 50;
    for (auto i = 0; i < submitted; ++i)
    {
        submit_running(id_of(i), work_of(2, {1000, 1000, 0}, true));
    }
    run_for(time_ms(6500));
    EXPECT_LE(lines_with("tasks wait, ").size(), 40U);
    EXPECT_FALSE(lines_with(" more steps have waited for long").empty());
    run_for(time_ms(3000));
    for (auto i = 0; i < submitted; ++i)
    {
        EXPECT_EQ(lines_with(id_of(i) + ".0.0: ").size(), 1U) << i;
    }
    run_for(time_ms(90000));
    for (auto i = 0; i < submitted; ++i)
    {
        EXPECT_LE(lines_with(id_of(i) + ".0.0: ").size(), 5U) << i;
    }
    EXPECT_EQ(gauge("tasks_waiting_from_10_s", "skipped")
                  + gauge("tasks_waiting_from_10_s", "tail"),
              submitted);
}

// Guards against steps that get no line as long as others become due that come
// first in the order of IDs.
TEST_F(waiting, the_lines_that_are_due_longest_come_first)
{
    serve(add_worker("w0"), 1.2);
    constexpr auto submitted_at_once = 30;
    auto number = 1000;
    for (auto i = 0; i < 4; ++i)
    {
        for (auto j = 0; j < submitted_at_once; ++j)
        {
            submit_running(id_of(--number), work_of(2, {1000, 1000, 0}, true));
        }
        run_for(time_ms(1000));
    }
    run_for(time_ms(3500));
    for (auto i = 1000 - submitted_at_once; i < 1000; ++i)
    {
        EXPECT_EQ(lines_with(id_of(i) + ".0.0: ").size(), 1U) << i;
    }
}

// Guards against runs that are stopped without a line that says why.
TEST_F(waiting, a_run_stopped_at_pace_0_is_logged)
{
    auto& worker = add_worker("w0");
    auto work = work_of(2, {1000, 1000, 0}, true);
    work.steps[0].checkpoints = true;
    auto& submission = submit_running(first_id, work);
    run_for(time_ms(100));
    auto const& task = submission.occurrences[0].steps[0].tasks[1];
    ASSERT_TRUE(task.place);
    auto& run = worker.runs.begin()->second;
    run.phase = run_phase::running;
    run.pace_percent = 0;
    serve(worker, 0.9);
    for (auto i = 0; i < 4; ++i)
    {
        now_ += time_ms(500);
        auto ctx = context();
        pacing::reported(ctx, worker);
    }
    auto const found = lines_with(std::string(first_id) + ".0.0.1 run 1 ");
    ASSERT_EQ(found.size(), 1U);
    EXPECT_EQ(found[0].part, "pacing");
    EXPECT_NE(found[0].text.find("at pace 0, tail of server there 90 %"),
              std::string::npos)
        << found[0].text;
    EXPECT_EQ(samples("runs_stopped_total").size(), 1U);
    EXPECT_EQ(samples("runs_paused_total").size(), 1U);
}

} // namespace jaydrift::schedule
