#include "checked_deployment_test.hpp"
#include "sample_work_test.hpp"

#include <jaydrift/schedule/submission_state.hpp>

#include <gtest/gtest.h>

#include <cstddef>
#include <optional>
#include <string>
#include <utility>

namespace jaydrift::schedule::testing {

namespace {

constexpr std::size_t daemons = 3;
constexpr char const* first_id = "00000000000000a1";

/// Time in which another daemon takes over from a killed owner.
constexpr time_ms takeover_time{4000};

/// Three daemons whose owner can be replaced, and operators that change the
/// queue of the work.
class changing_deployment : public checked_deployment
{
public:
    explicit changing_deployment(std::uint64_t seed)
        : checked_deployment(daemons, 4, seed, 1)
    {
        run_until(time_ms(3000));
    }

    /// Writes a configuration whose only queue has this name and figures.
    void configure(std::string const& name, std::uint32_t priority = 0,
                   std::uint32_t max_attempts = 3, double slack_factor = 2.0)
    {
        configuration config;
        config.version = ++version_;
        config.queues.push_back({name, "jobs.example", "/batch/", "svc",
                                 priority, max_attempts, slack_factor,
                                 time_ms(1000)});
        store.put({record_kind::configuration, {}}, config);
        run_until(now() + time_ms(1500));
    }

    void replace_owner()
    {
        auto const killed = *owner();
        kill(killed);
        run_until(now() + takeover_time);
        start(killed);
        run_until(now() + time_ms(1000));
        ASSERT_TRUE(owner());
    }

    submission_state const& state()
    {
        return daemon(*owner()).shards[0].submissions.at(first_id);
    }

    void expect_completed()
    {
        run_until(now() + time_ms(10000));
        EXPECT_EQ(show(0, first_id).phase, submission_phase::completed);
    }

private:
    std::uint64_t version_ = 1;
};

/// Returns work whose second step is due only after 12 s.
submission work_of_two_occurrences()
{
    auto work = chain_of({2, 2});
    work.first_due = time_ms(3000);
    work.interval = time_ms(12000);
    work.repeat_count = 2;
    return work;
}

} // namespace

// Guards against accepted work that stands still for ever: its queue was
// replaced by one of another name, and a new owner did not know the service.
TEST(submission_terms, work_of_a_replaced_queue_goes_on_under_a_new_owner)
{
    changing_deployment deployment(401);
    deployment.submit(0, first_id, work_of_two_occurrences());
    deployment.run_until(deployment.now() + time_ms(500));
    deployment.configure("batch-2");
    deployment.replace_owner();
    deployment.expect_completed();
}

// The same for tasks that are to run until they are cancelled.
TEST(submission_terms, long_running_tasks_of_a_removed_queue_start_again)
{
    changing_deployment deployment(402);
    auto work = chain_of({4});
    work.steps[0].long_running = true;
    deployment.submit(0, first_id, work);
    deployment.run_until(deployment.now() + time_ms(500));
    deployment.configure("other");
    deployment.replace_owner();
    auto const before = deployment.starts({first_id, 0, 0, 0});
    deployment.run_until(deployment.now() + time_ms(10000));
    EXPECT_GT(deployment.starts({first_id, 0, 0, 0}), before);
}

// Guards against a new owner that goes by other figures than the one before:
// the queue was changed before it was removed.
TEST(submission_terms, a_new_owner_goes_by_the_last_terms_of_a_removed_queue)
{
    changing_deployment deployment(403);
    deployment.submit(0, first_id, work_of_two_occurrences());
    deployment.run_until(deployment.now() + time_ms(500));
    deployment.configure("batch", 2, 7, 50.0);
    deployment.configure("other");
    auto const before = deployment.state().terms;
    EXPECT_EQ(before.priority, 2U);
    EXPECT_EQ(before.max_attempts, 7U);
    deployment.replace_owner();
    EXPECT_EQ(deployment.state().terms, before);
    deployment.configure("batch", 1, 5);
    auto const added_again = deployment.state().terms;
    EXPECT_EQ(added_again.priority, 1U);
    deployment.replace_owner();
    EXPECT_EQ(deployment.state().terms, added_again);
    deployment.expect_completed();
}

// Guards against an objective that changes with the owner, since the queue has
// other figures by then.
TEST(submission_terms, the_objective_is_that_of_the_acceptance)
{
    changing_deployment deployment(404);
    deployment.submit(0, first_id, work_of_two_occurrences());
    deployment.run_until(deployment.now() + time_ms(500));
    auto const before = deployment.state();
    deployment.configure("batch", 0, 3, 100.0);
    deployment.replace_owner();
    EXPECT_EQ(deployment.state().terms.time_allowed, before.terms.time_allowed);
    EXPECT_EQ(deployment.state().objective, before.objective);
}

// Guards against work of an earlier release, whose records have no terms, that
// is not served, or that stands still later when its queue is removed.
TEST(submission_terms, records_of_an_earlier_release_get_terms)
{
    changing_deployment deployment(405);
    deployment.submit(0, first_id, work_of_two_occurrences());
    deployment.run_until(deployment.now() + time_ms(500));
    deployment.store.put({record_kind::submission, first_id, 0},
                         submission_record{first_id, "batch", time_ms(3002),
                                           work_of_two_occurrences()});
    deployment.replace_owner();
    EXPECT_EQ(deployment.state().terms.service, "svc");
    deployment.configure("other");
    deployment.replace_owner();
    EXPECT_EQ(deployment.state().terms.service, "svc");
    deployment.expect_completed();
}

// Guards against new terms that are lost because they came while a transaction
// with the earlier ones was in flight.
TEST(submission_terms, a_change_during_a_transaction_is_stored)
{
    changing_deployment deployment(406);
    for (auto delay = time_ms(0); delay < time_ms(60); delay += time_ms(4))
    {
        deployment.configure("batch", 0);
        auto const id = id_of(static_cast<int>(delay.count()) + 1);
        deployment.submit(0, id, work_of_two_occurrences());
        deployment.run_until(deployment.now() + delay);
        deployment.configure("batch", 4);
        deployment.run_until(deployment.now() + time_ms(1000));
        auto const& state =
            deployment.daemon(*deployment.owner()).shards[0].submissions.at(id);
        EXPECT_EQ(state.terms.priority, 4U);
        EXPECT_EQ(state.stored_terms, std::optional(state.terms))
            << delay.count();
    }
}

} // namespace jaydrift::schedule::testing
