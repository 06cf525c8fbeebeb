#include "sample_work_test.hpp"
#include "simulated_deployment_test.hpp"

#include <jaydrift/schedule/limits.hpp>
#include <jaydrift/schedule/reduce.hpp>

#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace jaydrift::schedule::testing {

namespace {

constexpr char const* first_id = "00000000000000a1";
constexpr char const* second_id = "00000000000000b2";

unreadable_record const odd{"another writer"};

std::vector<log_line> lines_with(effect_list const& effects,
                                 std::string_view text)
{
    std::vector<log_line> result;
    for (auto const& each : effects)
    {
        auto const* const line = std::get_if<log_line>(&each);
        if (line && line->text.find(text) != std::string::npos)
        {
            result.push_back(*line);
        }
    }
    return result;
}

std::size_t count_of(effect_list const& effects, std::string_view name)
{
    return static_cast<std::size_t>(std::count_if(
        effects.begin(), effects.end(), [name](effect const& each) {
            auto const* const metric = std::get_if<metric_update>(&each);
            return metric && metric->name == name;
        }));
}

/// Returns the last call to the store in which `holds` holds for the request.
template<class Holds>
std::optional<store_call> find_call(effect_list const& effects, Holds holds)
{
    std::optional<store_call> result;
    for (auto const& each : effects)
    {
        auto const* const call = std::get_if<store_call>(&each);
        if (call && holds(call->request))
        {
            result = *call;
        }
    }
    return result;
}

std::optional<store_call> worker_area_call(effect_list const& effects)
{
    return find_call(effects, [](auto const& request) {
        auto const* const read = std::get_if<read_area>(&request);
        auto const* const watch = std::get_if<watch_area>(&request);
        return (read && read->area == store_area::workers)
               || (watch && watch->area == store_area::workers);
    });
}

worker_entry good_entry()
{
    return {"w1",  "svc",      "10.1.0.1:8000",
            "a",   {"k", "r"}, {8000, 64000, 0},
            false, time_ms(5)};
}

daemon_state owner_state()
{
    settings options;
    options.node = "d0";
    options.address = "10.0.0.1:7000";
    auto state = initial_state(options, time_ms(0));
    state.shards.resize(1);
    state.shards[0].ownership.role = owner_role::owner;
    state.shards[0].ownership.revision = 5;
    return state;
}

/// Submits work and expects that it completes within 20 s.
void expect_serves(simulated_deployment& deployment, std::string const& id,
                   std::size_t daemon = 0)
{
    deployment.submit(daemon, id, chain_of({3, 2}));
    deployment.run_until(deployment.now() + time_ms(20000));
    EXPECT_EQ(deployment.answers[id].result, answer::code::ok) << id;
    EXPECT_EQ(deployment.show(daemon, id).phase, submission_phase::completed)
        << id;
    EXPECT_TRUE(deployment.violations.empty()) << deployment.violations.front();
}

} // namespace

// Guards against one odd entry that hides the workers beside it, and against a
// log that fills up because the entry is read again and again.
TEST(odd_records, an_odd_entry_is_passed_over_with_one_line)
{
    auto state = owner_state();
    store_replied reply;
    reply.status = store_status::ok;
    reply.revision = 9;
    reply.items = {{{record_kind::worker, "w0"}, 7, false, odd},
                   {{record_kind::worker, "w1"}, 8, false, good_entry()}};
    std::size_t lines = 0;
    std::size_t counts = 0;
    auto now = time_ms(0);
    auto effects = reduce(state, timer_due{now}, now);
    // The entry is read twice, and then written again.
    for (auto const round : {0, 1, 2})
    {
        auto const call = worker_area_call(effects);
        ASSERT_TRUE(call) << round;
        reply.call = call->call;
        reply.items[0].revision = round == 2 ? 12 : 7;
        now += time_ms(10);
        effects = reduce(state, reply, now);
        lines += lines_with(effects, "cannot be read").size();
        counts += count_of(effects, "unreadable_records_total");
        EXPECT_EQ(lines, round == 2 ? 2U : 1U) << round;
        EXPECT_EQ(state.worker_entries.count("w1"), 1U);
        EXPECT_EQ(state.shards[0].workers.count("w0"), 0U);
        if (round < 2)
        {
            auto const watch = worker_area_call(effects);
            ASSERT_TRUE(watch);
            store_replied compacted;
            compacted.call = watch->call;
            compacted.status = store_status::compacted;
            now += time_ms(20);
            effects = reduce(state, compacted, now);
        }
    }
    EXPECT_EQ(counts, 2U);
}

// Guards against a key of another writer that adds lines of its own to the log.
TEST(odd_records, a_key_with_control_characters_stays_on_its_line)
{
    auto state = owner_state();
    auto const call =
        worker_area_call(reduce(state, timer_due{time_ms(0)}, time_ms(0)));
    ASSERT_TRUE(call);
    store_replied reply;
    reply.call = call->call;
    reply.status = store_status::ok;
    reply.items = {{{record_kind::worker, "w\n2026 INFO x"}, 7, false, odd}};
    auto const lines =
        lines_with(reduce(state, reply, time_ms(5)), "cannot be read");
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_EQ(lines[0].text.find('\n'), std::string::npos);
}

// Guards against workers that are lost with an entry of another writer, also
// for an owner that takes over later.
TEST(odd_records, odd_entries_do_not_keep_work_from_the_others)
{
    simulated_deployment deployment(3, 4, 21);
    for (auto i = 0; i < 50; ++i)
    {
        deployment.store.put({record_kind::worker, "odd" + std::to_string(i)},
                             odd);
    }
    deployment.store.put({record_kind::worker, {}}, odd);
    deployment.store.put({record_kind::worker, "w0"}, odd);
    deployment.run_until(time_ms(3000));
    expect_serves(deployment, first_id);
    auto const owner = *deployment.owner();
    deployment.kill(owner);
    deployment.run_until(deployment.now() + time_ms(3000));
    expect_serves(deployment, second_id, (owner + 1) % 3);
}

// The store refuses each write of an owner whose record was replaced. Guards
// against a shard without an owner for ever, because no daemon learns the
// revision of a record that it cannot read.
TEST(odd_records, an_odd_owner_record_is_replaced)
{
    {
        simulated_deployment deployment(3, 4, 22);
        deployment.run_until(time_ms(3000));
        deployment.submit(0, first_id, chain_of({3}));
        deployment.run_until(time_ms(3200));
        deployment.store.put({record_kind::owner, {}}, odd);
        deployment.run_until(time_ms(6000));
        expect_serves(deployment, second_id);
        EXPECT_EQ(deployment.show(0, first_id).phase,
                  submission_phase::completed);
    }
}

// The same for daemons that find the record at their start.
TEST(odd_records, an_odd_owner_record_is_replaced_after_a_restart_of_all)
{
    simulated_deployment deployment(3, 4, 23);
    deployment.run_until(time_ms(3000));
    for (std::size_t i = 0; i < 3; ++i)
    {
        deployment.kill(i);
    }
    deployment.store.put({record_kind::owner, {}}, odd);
    deployment.store.put({record_kind::roster, {}}, odd);
    for (std::size_t i = 0; i < 3; ++i)
    {
        deployment.start(i);
    }
    deployment.run_until(time_ms(20000));
    expect_serves(deployment, first_id);
}

// A claim names the revision of the roster. Guards against a shard that nobody
// can claim after the roster was overwritten and the owner was killed.
TEST(odd_records, an_odd_roster_is_replaced)
{
    {
        simulated_deployment deployment(3, 4, 24);
        deployment.run_until(time_ms(4000));
        deployment.store.put({record_kind::roster, {}}, odd);
        deployment.kill(*deployment.owner());
        deployment.run_until(time_ms(20000));
        ASSERT_TRUE(deployment.owner());
        expect_serves(deployment, first_id, *deployment.owner());
    }
}

// Guards against owners that follow each other for ever because each one's
// first write expects another revision of the serial.
TEST(odd_records, an_odd_serial_is_replaced)
{
    {
        simulated_deployment deployment(3, 4, 25);
        deployment.run_until(time_ms(4000));
        deployment.store.put({record_kind::serial, {}}, odd);
        deployment.run_until(time_ms(8000));
        expect_serves(deployment, first_id);
    }
}

// Guards against a deployment that starts or restarts and never has shards, or
// other ones than before, because the layout was overwritten.
TEST(odd_records, an_odd_layout_is_replaced)
{
    simulated_deployment fresh(3, 4, 26);
    fresh.store.put({record_kind::layout, {}}, odd);
    fresh.run_until(time_ms(15000));
    expect_serves(fresh, first_id);

    simulated_deployment running(4, 8, 27, 2);
    running.run_until(time_ms(5000));
    running.submit(0, first_id, chain_of({3}));
    running.run_until(time_ms(6000));
    running.store.put({record_kind::layout, {}}, odd);
    for (std::size_t i = 0; i < 4; ++i)
    {
        running.kill(i);
        running.start(i);
    }
    running.run_until(time_ms(25000));
    EXPECT_EQ(running.daemon(0).shards.size(), 2U);
    expect_serves(running, second_id);
    EXPECT_EQ(running.show(0, first_id).phase, submission_phase::completed);
}

// Guards against submissions that are lost with records of another writer, also
// for an owner that takes over later.
TEST(odd_records, an_odd_record_of_the_log_does_not_hide_the_others)
{
    simulated_deployment deployment(3, 4, 28);
    deployment.run_until(time_ms(3000));
    deployment.submit(0, first_id, chain_of({12, 6}));
    deployment.run_until(time_ms(3300));
    for (auto const kind : {record_kind::submission, record_kind::progress,
                            record_kind::relocation})
    {
        deployment.store.put({kind, "x"}, odd);
        deployment.store.put({kind, second_id}, odd);
    }
    constexpr char const* relocated_id = "00000000000000d4";
    deployment.store.put({record_kind::relocation, relocated_id},
                         relocation_record{relocated_id, 40, time_ms(3300)});
    deployment.store.put({record_kind::fleet, {}}, odd);
    deployment.store.put({record_kind::interference, {}}, odd);
    deployment.store.put({record_kind::member, "x"}, odd);
    deployment.store.put({record_kind::member, "d1"}, odd);
    auto const owner = *deployment.owner();
    deployment.kill(owner);
    deployment.run_until(time_ms(20000));
    EXPECT_EQ(deployment.show((owner + 1) % 3, first_id).phase,
              submission_phase::completed);
    expect_serves(deployment, "00000000000000c3", (owner + 1) % 3);
    expect_serves(deployment, relocated_id, (owner + 1) % 3);
}

// Guards against occurrences, steps and tasks in a progress record that the
// submission does not have: it would never be completed, or take all memory.
TEST(odd_records, progress_beyond_the_submission_is_ignored)
{
    simulated_deployment deployment(3, 4, 29);
    deployment.run_until(time_ms(3000));
    deployment.submit(0, first_id, chain_of({12, 6}));
    deployment.run_until(time_ms(3300));
    auto const owner = *deployment.owner();
    deployment.kill(owner);
    progress_record progress;
    progress.id = first_id;
    task_progress task;
    task.worker = "nobody";
    task.run = 1;
    progress.occurrences.resize(100000);
    progress.occurrences[0] = {std::vector<task_progress>(20, task),
                               {},
                               std::vector<task_progress>(20, task)};
    deployment.store.put({record_kind::progress, first_id}, progress);
    deployment.run_until(time_ms(8000));
    auto const next = *deployment.owner();
    auto const& submission =
        deployment.daemon(next).shards[0].submissions.at(first_id);
    EXPECT_EQ(submission.occurrences.size(), 1U);
    deployment.run_until(time_ms(30000));
    EXPECT_EQ(deployment.show(next, first_id).phase,
              submission_phase::completed);
}

// Guards against a submission with occurrences that are all due at once: their
// tasks would take the owner's memory and that of each later owner.
TEST(odd_records, occurrences_that_are_due_at_once_are_added_as_others_end)
{
    simulated_deployment deployment(1, 4, 30);
    deployment.run_until(time_ms(3000));
    auto work = chain_of({100});
    work.steps[0].demand = {1000000, 1, 0};
    work.repeat_count = 1000000;
    work.interval = time_ms(0);
    deployment.submit(0, first_id, work);
    deployment.run_until(time_ms(4000));
    auto const& submission =
        deployment.daemon(0).shards[0].submissions.at(first_id);
    EXPECT_LE(submission.occurrences.size(), 100U);
    EXPECT_GE(submission.occurrences.size(), 2U);
}

// Guards against runs that start a second time because a worker's list has a
// row that cannot be read, and against orders without a pause to a worker whose
// ends cannot be acknowledged.
TEST(odd_records, unreadable_rows_of_a_worker_prove_nothing)
{
    auto state = owner_state();
    state.wall_offset = time_ms(1000);
    auto& worker = state.shards[0].workers["w1"];
    worker.entry = good_entry();
    worker.fenced = true;
    worker.clock = time_ms(0);
    worker.in_fleet_record = true;
    run_state run;
    run.phase = run_phase::running;
    run.confirmed_at = time_ms(0);
    run_id const id{{first_id, 0, 0, 0}, 1};
    worker.runs.emplace(id, run);
    auto now = time_ms(20);
    std::size_t holds = 0;
    std::size_t counts = 0;
    for (auto i = 0; i < 50; ++i)
    {
        now += time_ms(5);
        auto effects = reduce(state, timer_due{now}, now);
        for (auto const& each : effects)
        {
            auto const* const order = std::get_if<worker_call>(&each);
            if (order && std::holds_alternative<hold_order>(order->order))
            {
                ++holds;
                worker_replied reply;
                reply.call = order->call;
                reply.status = worker_status::ok;
                reply.clock = now;
                reply.process_started_at = time_ms(5);
                reply.unreadable_runs = 1;
                reply.unreadable_ends = 1;
                counts += count_of(reduce(state, reply, now),
                                   "unreadable_rows_total");
            }
        }
    }
    EXPECT_EQ(state.shards[0].workers.at("w1").runs.count(id), 1U);
    EXPECT_LE(holds, 3U);
    EXPECT_GE(counts, 1U);
}

// Guards against a shard without an owner for ever, because each claim expects
// a revision that only a datagram of another writer named.
TEST(odd_records, a_revision_that_does_not_exist_is_forgotten)
{
    auto state = owner_state();
    state.shards[0].ownership.role = owner_role::follower;
    state.config = configuration{};
    heartbeat message;
    message.node = "d9";
    message.address = "10.0.0.9:7000";
    message.revision = limits::max_number;
    message.interval = time_ms(150);
    static_cast<void>(
        reduce(state, message_arrived{"10.0.0.9:7000", message}, time_ms(1)));
    std::optional<store_call> claim;
    auto now = time_ms(1);
    for (; !claim && now < time_ms(5000); now += time_ms(50))
    {
        claim = find_call(
            reduce(state, timer_due{now}, now), [](auto const& request) {
                return std::holds_alternative<store_transaction>(request)
                       && std::get<store_transaction>(request).expected.size()
                              == 2;
            });
    }
    ASSERT_TRUE(claim);
    store_replied conflict;
    conflict.call = claim->call;
    conflict.status = store_status::conflict;
    conflict.items = {{{record_kind::owner, {}},
                       5,
                       false,
                       owner_record{"d0", "10.0.0.1:7000", 1, 9}}};
    static_cast<void>(reduce(state, conflict, now));
    EXPECT_EQ(state.shards[0].ownership.revision, 5U);
}

// Guards against a datagram that claims to be of this daemon itself.
TEST(odd_records, messages_in_the_own_name_are_ignored)
{
    auto state = owner_state();
    heartbeat message;
    message.node = "d0";
    message.address = "10.0.0.9:7000";
    message.revision = limits::max_number;
    message.interval = time_ms(150);
    auto const effects =
        reduce(state, message_arrived{"10.0.0.9:7000", message}, time_ms(1));
    EXPECT_EQ(state.shards[0].ownership.role, owner_role::owner);
    EXPECT_TRUE(state.members.empty());
}

} // namespace jaydrift::schedule::testing
