#include <jaydrift/schedule/log_line.hpp>
#include <jaydrift/schedule/recovery.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/worker_entry.hpp>
#include <jaydrift/schedule/workers.hpp>

#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace jaydrift::schedule {

namespace {

constexpr char const* id = "i-1";

/// A shard that this daemon owns, with one worker that is listed.
class worker_log : public ::testing::Test
{
protected:
    worker_log()
    {
        state_.shards.resize(1);
        shard().ownership.role = owner_role::owner;
        entry_.id = id;
        change();
    }

    shard_state& shard() { return state_.shards[0]; }

    worker_state& worker() { return shard().workers.at(id); }

    shard_context context()
    {
        effects_.clear();
        return {schedule::context{state_, now_, effects_}, shard()};
    }

    /// Hands the entry over as the store has it now.
    void change()
    {
        auto ctx = context();
        workers::entry_changed(ctx, entry_);
    }

    void drain()
    {
        entry_.draining = true;
        change();
    }

    void add_long_running_run()
    {
        run_state run;
        run.phase = run_phase::running;
        run.long_running = true;
        run.listed = true;
        workers::add_run(worker(), {{"00000000000000a1", 0, 0, 0}, 1}, run);
    }

    /// The worker has answered this daemon and holds a lease.
    void answer()
    {
        worker().fenced = true;
        worker().clock = now_;
        worker().clock_received_at = now_;
        worker().lease_until = now_ + time_ms(5000);
    }

    /// Returns the texts of the lines that the last change left.
    std::vector<std::string> lines() const
    {
        std::vector<std::string> result;
        for (auto const& each : effects_)
        {
            if (auto const* const line = std::get_if<log_line>(&each))
            {
                EXPECT_EQ(line->subject, log_subject::state) << line->text;
                result.push_back(line->text);
            }
        }
        return result;
    }

    using texts = std::vector<std::string>;

    daemon_state state_;
    effect_list effects_;
    time_ms now_{10000};
    worker_entry entry_;
};

} // namespace

// Guards against a worker that drains without a line, or with one for each time
// that its entry is read.
TEST_F(worker_log, a_worker_that_begins_to_drain_leaves_one_line)
{
    EXPECT_EQ(lines(), (texts{"i-1 listed in the store"}));
    drain();
    EXPECT_EQ(lines(), (texts{"i-1 is draining, moving 0 long-running tasks"}));
    change();
    EXPECT_EQ(lines(), (texts{}));
}

// Guards against a worker that is first seen while it drains and looks like any
// other in the log.
TEST_F(worker_log, a_new_worker_that_drains_is_reported_so)
{
    shard().workers.clear();
    drain();
    EXPECT_EQ(lines(), (texts{"i-1 listed in the store, draining"}));
}

// Guards against a worker that begins to drain unnoticed while the owner
// recovers or is suspended: its long-running tasks would stay there.
TEST_F(worker_log, a_worker_that_drains_while_the_daemon_does_not_serve)
{
    shard().ownership.role = owner_role::suspended;
    answer();
    add_long_running_run();
    drain();
    EXPECT_EQ(lines(), (texts{}));
    shard().ownership.role = owner_role::owner;
    auto first = context();
    workers::tick(first);
    EXPECT_EQ(lines(), (texts{"i-1 is draining, moving 1 long-running tasks"}));
    auto second = context();
    workers::tick(second);
    EXPECT_EQ(lines(), (texts{}));
}

// Guards against a new owner that leaves long-running tasks on a draining
// worker and does not say so.
TEST_F(worker_log, a_new_owner_reports_the_workers_that_drain)
{
    shard().ownership.role = owner_role::recovering;
    drain();
    add_long_running_run();
    answer();
    shard().ownership.submissions_read = true;
    shard().ownership.assignments_read = true;
    shard().ownership.workers_read = true;
    shard().ownership.fencing_since = now_;
    auto ctx = context();
    recovery::tick(ctx);
    EXPECT_EQ(lines(),
              (texts{"serving after 10000 ms with 0 submissions, 1 workers, 0 "
                     "of them not fenced"}));
    auto serving = context();
    workers::tick(serving);
    EXPECT_EQ(lines(), (texts{"i-1 is draining, moving 1 long-running tasks"}));
}

// Guards against a worker that takes tasks again without a line.
TEST_F(worker_log, the_end_of_a_drain_leaves_a_line)
{
    drain();
    entry_.draining = false;
    change();
    EXPECT_EQ(lines(), (texts{"i-1 is no longer draining"}));
}

// Guards against a worker whose last line says that it is not listed although
// it is again.
TEST_F(worker_log, a_worker_that_is_listed_again_leaves_a_line)
{
    auto ctx = context();
    workers::entry_removed(ctx, id);
    EXPECT_EQ(lines(),
              (texts{"i-1 no longer listed in the store, 0 runs there"}));
    change();
    EXPECT_EQ(lines(), (texts{"i-1 listed in the store again"}));
}

// Guards against runs that are given up without a line since a worker never
// answered a new owner.
TEST_F(worker_log, a_worker_that_never_answers_a_new_owner_leaves_one_line)
{
    add_long_running_run();
    worker().fenced = false;
    worker().unaccounted = true;
    worker().runs_gone_at = now_;
    auto first = context();
    workers::tick(first);
    EXPECT_EQ(
        lines(),
        (texts{"i-1 did not answer before all leases expired, 1 runs are gone; "
               "process 0, token 0, lease until 0"}));
    auto second = context();
    workers::tick(second);
    EXPECT_EQ(lines(), (texts{}));
}

// Guards against lines about a restart, an expired lease and a refused start
// that do not tell which process, token and lease they are about.
TEST_F(worker_log, lines_name_the_process_the_token_and_the_lease)
{
    shard().ownership.revision = 7;
    entry_.process_started_at = time_ms(100);
    change();
    answer();
    entry_.process_started_at = time_ms(200);
    change();
    EXPECT_EQ(lines(),
              (texts{"i-1 started again, 0 runs may be gone, the new process "
                     "is 200; the last one: process 100, token 7, lease until "
                     "15000, clock 10000 0 ms ago"}));
    answer();
    add_long_running_run();
    worker().unanswered_orders = 1;
    worker().unanswered_sent_at = now_;
    now_ += time_ms(6000);
    auto expiry = context();
    workers::tick(expiry);
    EXPECT_EQ(lines(),
              (texts{"i-1: lease expired, 1 runs are gone, 0 may be in a later "
                     "process; process 200, token 7, lease until 15000, clock "
                     "10000 6000 ms ago"}));
}

} // namespace jaydrift::schedule
