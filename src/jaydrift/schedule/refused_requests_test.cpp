#include <jaydrift/schedule/refused_requests.hpp>

#include "sample_work_test.hpp"
#include "simulated_deployment_test.hpp"

#include <jaydrift/core/random.hpp>
#include <jaydrift/schedule/placement_request.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/step_spec.hpp>
#include <jaydrift/schedule/worker_choice.hpp>
#include <jaydrift/schedule/workers.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace jaydrift::schedule::testing {

namespace {

std::string const nowhere;

placement_request request_of(step_spec const& spec,
                             double tolerance = tail_limits::start_in_time,
                             std::string_view service = "svc")
{
    return {{id_of(1), 0, 0, 0}, spec, service,  nowhere,
            time_ms(0),          {},   tolerance};
}

step_spec urgent_step(resources demand)
{
    step_spec spec;
    spec.demand = demand;
    spec.image = "a";
    return spec;
}

step_spec opportunistic_step(resources demand)
{
    auto spec = urgent_step(demand);
    spec.opportunistic = true;
    return spec;
}

/// Returns whether the refusal of one step covers the request of another one.
bool covers(step_spec const& refused, step_spec const& other)
{
    refused_requests requests;
    requests.add(request_of(refused));
    return requests.cover(request_of(other));
}

/// Adds a worker of three to eight processors.
void add_worker(shard_context& ctx, std::uint64_t number, random_source& random)
{
    auto const id = "w" + std::to_string(number);
    auto& worker = ctx.shard.workers[id];
    worker.entry.id = id;
    worker.entry.service = number % 4 == 3 ? "other" : "svc";
    worker.entry.capacity = {
        3000 + static_cast<std::int64_t>(random.below(6)) * 1000,
        2000 + static_cast<std::int64_t>(random.below(6)) * 1000,
        static_cast<std::int64_t>(random.below(2))};
    if (random.below(2) == 0)
    {
        worker.entry.labels = {"label"};
    }
    worker.in_fleet_record = true;
    worker.fenced = random.below(8) > 0;
}

step_spec random_step(random_source& random)
{
    step_spec spec;
    spec.demand = {500 + static_cast<std::int64_t>(random.below(8)) * 500,
                   500 + static_cast<std::int64_t>(random.below(8)) * 500,
                   random.below(8) == 0 ? 1 : 0};
    auto const kind = random.below(6);
    spec.long_running = kind == 0;
    spec.opportunistic = kind == 1 || kind == 2;
    spec.image = random.below(2) == 0 ? "a" : "b";
    spec.latency_target = time_ms(kind == 0 ? 100 : 0);
    spec.max_per_worker = random.below(4) == 0 ? 1 : 0;
    if (random.below(4) == 0)
    {
        spec.required_label = "label";
    }
    return spec;
}

/// Places random tasks in one pass that asks the workers each time. Returns
/// whether none of those that find a worker is covered by a refusal.
bool no_placed_request_is_covered(std::uint64_t seed)
{
    random_source random(seed);
    daemon_state state;
    state.shards.resize(1);
    effect_list effects;
    shard_context ctx(context{state, time_ms(1000), effects}, state.shards[0]);
    for (std::uint64_t i = 0; i < 8; ++i)
    {
        add_worker(ctx, i, random);
    }
    refused_requests refused;
    std::deque<step_spec> steps;
    for (auto i = 0; i < 200; ++i)
    {
        auto const& spec = steps.emplace_back(random_step(random));
        auto request = request_of(spec, random.below(2) == 0 ? 0.7 : 0.8,
                                  random.below(4) == 0 ? "other" : "svc");
        request.id.submission = id_of(i);
        auto const covered = refused.cover(request);
        auto const choice = worker_choice::choose(ctx, request);
        if (choice.worker && covered)
        {
            return false;
        }
        if (choice.worker)
        {
            submission_state submission;
            submission.work.steps = {spec};
            auto run = workers::reservation(submission, 0);
            run.load = spec.long_running ? 60 : 0;
            workers::add_run(*choice.worker, {request.id, 1}, run);
        }
        else
        {
            refused.add(request);
        }
        if (random.below(40) == 0)
        {
            ctx.shard.workers.begin()->second.kept_for = request.id;
        }
    }
    return true;
}

} // namespace

// Guards against urgent steps that are asked for again in the same pass.
TEST(refused_requests, cover_urgent_requests_that_need_as_much_or_more)
{
    auto const refused = urgent_step({2000, 1000, 0});
    EXPECT_TRUE(covers(refused, refused));
    EXPECT_TRUE(covers(refused, urgent_step({2100, 1000, 1})));
    EXPECT_FALSE(covers(refused, urgent_step({1900, 1000, 0})));
    EXPECT_FALSE(covers(refused, urgent_step({2100, 900, 0})));
    auto other_image = refused;
    other_image.image = "b";
    EXPECT_TRUE(covers(refused, other_image));
    refused_requests requests;
    requests.add(request_of(refused));
    EXPECT_TRUE(requests.cover(request_of(refused, 0.8)));
    EXPECT_FALSE(requests.cover(request_of(refused, 0.7, "other")));
}

// Guards against refusals that hold back requests for which other workers, or
// other limits, count.
TEST(refused_requests, cover_only_requests_for_the_same_workers)
{
    auto const urgent = urgent_step({2000, 1000, 0});
    auto labelled = urgent;
    labelled.required_label = "label";
    EXPECT_TRUE(covers(urgent, labelled));
    EXPECT_FALSE(covers(labelled, urgent));
    auto limited = urgent;
    limited.max_per_worker = 1;
    EXPECT_TRUE(covers(urgent, limited));
    EXPECT_FALSE(covers(limited, limited));
    auto long_running = urgent;
    long_running.long_running = true;
    EXPECT_FALSE(covers(long_running, urgent));
    EXPECT_FALSE(covers(urgent, long_running));
    EXPECT_FALSE(covers(long_running, long_running));
    auto const opportunistic = opportunistic_step({2000, 1000, 0});
    EXPECT_FALSE(covers(urgent, opportunistic));
    EXPECT_FALSE(covers(opportunistic, urgent));
}

// Guards against opportunistic requests that are refused for the limits of
// others.
TEST(refused_requests, compare_image_and_tolerance_of_opportunistic_requests)
{
    auto const refused = opportunistic_step({2000, 1000, 0});
    auto other_image = refused;
    other_image.image = "b";
    EXPECT_FALSE(covers(refused, other_image));
    refused_requests requests;
    requests.add(request_of(refused, 0.7));
    EXPECT_TRUE(requests.cover(request_of(refused, 0.7)));
    EXPECT_FALSE(requests.cover(request_of(refused, 0.8)));
}

// Guards against a task that is not started although a worker would take it.
RC_GTEST_PROP(refused_requests, cover_no_request_that_finds_a_random_worker,
              (std::uint64_t seed))
{
    RC_ASSERT(no_placed_request_is_covered(seed));
}

// Guards against passes in which each waiting urgent step asks all workers.
TEST(refused_requests, a_backlog_of_urgent_steps_asks_the_workers_once)
{
    simulated_deployment deployment(1, 2, 41);
    deployment.run_until(time_ms(3000));
    auto work = chain_of({1});
    work.steps[0].demand = {100000, 1000, 0};
    constexpr auto waiting = 50;
    for (auto i = 0; i < waiting; ++i)
    {
        deployment.submit(0, id_of(i), work);
    }
    deployment.run_until(time_ms(4000));
    auto asked = 0;
    auto skipped = 0;
    for (auto const& [id, submission] :
         deployment.daemon(0).shards[0].submissions)
    {
        auto const reason = submission.occurrences[0].steps[0].reason;
        asked += reason == wait_reason::processors ? 1 : 0;
        skipped += reason == wait_reason::skipped ? 1 : 0;
    }
    EXPECT_EQ(asked, 1);
    EXPECT_EQ(skipped, waiting - 1);
}

} // namespace jaydrift::schedule::testing
