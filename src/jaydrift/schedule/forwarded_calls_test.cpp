#include "checked_deployment_test.hpp"
#include "sample_work_test.hpp"

#include <jaydrift/schedule/layout.hpp>
#include <jaydrift/schedule/queue_terms.hpp>
#include <jaydrift/schedule/reduce.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/submission_state.hpp>
#include <jaydrift/schedule/submissions.hpp>

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace jaydrift::schedule::testing {

namespace {

constexpr std::size_t daemons = 6;
constexpr std::size_t daemons_per_region = 3;

/// Long enough for a change to reach the region that is not disturbed, and too
/// short for the other one.
constexpr time_ms change_delay{100};

/// Time in which every daemon finds that another one is silent, and asks the
/// store itself.
constexpr time_ms settling_time{4000};

constexpr char const* parent_prefix = "/batch/";
constexpr char const* nested_prefix = "/batch/weekly/";

queue queue_with(std::string name, std::string prefix)
{
    return {
        std::move(name), "jobs.example", std::move(prefix), "svc", 0, 3, 2.0,
        time_ms(1000)};
}

/// Daemons of two regions, in each of which one reads the configuration for the
/// others. A change reaches one region at once and the other one late.
class two_regions : public checked_deployment
{
public:
    explicit two_regions(std::uint64_t seed, std::uint32_t shards = 1)
        : checked_deployment(daemons, 8, seed, shards)
    {
        for (std::size_t i = 0; i < daemons; ++i)
        {
            regions[i] = region_of(i) == 0 ? "north" : "south";
            kill(i);
            start(i);
        }
        run_until(time_ms(6000));
    }

    static std::size_t region_of(std::size_t number)
    {
        return number / daemons_per_region;
    }

    /// Returns a daemon of the region that the owner is not in.
    std::size_t front() const
    {
        return region_of(*owner()) == 0 ? daemons - 1 : 0;
    }

    /// Cuts off the daemon that a daemon has the configuration from.
    void cut_off_source_of(std::size_t number)
    {
        auto const& source = daemon(number).relay.source;
        ASSERT_FALSE(source.empty());
        for (std::size_t i = 0; i < daemons; ++i)
        {
            if (daemon(i).options.node == source)
            {
                cut_daemons = {i};
            }
        }
    }

    /// Writes a configuration with these queues, which only the region that is
    /// not disturbed learns of for now.
    void configure(std::vector<queue> queues)
    {
        store.put({record_kind::configuration, {}},
                  configuration{++version_, std::move(queues), {}});
        run_until(now() + change_delay);
    }

    /// Submits to the queue with the prefix, and runs until the answer.
    answer::code submit_to(std::size_t number, std::string const& new_prefix,
                           std::string const& id)
    {
        prefix = new_prefix;
        answers.erase(id);
        submit(number, id, chain_of({2}));
        auto const end = now() + time_ms(5000);
        while (!answers.contains(id) && now() < end)
        {
            run_until(now() + time_ms(5));
        }
        return answers.contains(id) ? answers.at(id).result
                                    : answer::code::unknown;
    }

    void settle()
    {
        cut_daemons.clear();
        run_until(now() + settling_time);
    }

    /// Checks that a submission of the queue is completed.
    void expect_completed(std::string const& new_prefix, std::string const& id)
    {
        prefix = new_prefix;
        auto const shown = show(front(), id);
        EXPECT_EQ(shown.result, answer::code::state) << id;
        EXPECT_EQ(shown.phase, submission_phase::completed) << id;
    }

    shard_state const& owned_shard() const
    {
        return daemon(*owner()).shards[0];
    }

private:
    std::uint64_t version_ = 1;
};

configuration configuration_of(std::uint64_t version, std::vector<queue> queues)
{
    return {version, std::move(queues), {}};
}

/// A daemon that knows of one other daemon, and handles single events.
class one_daemon
{
public:
    /// The other daemon owns the shards.
    explicit one_daemon(configuration config, std::size_t shards = 1)
    {
        settings options;
        options.node = "d0";
        options.address = "10.0.0.1:7000";
        state_ = initial_state(options, now_);
        state_.config = std::move(config);
        state_.shards.resize(shards);
        for (std::uint32_t i = 0; i < shards; ++i)
        {
            state_.shards[i].number = i;
            auto& ownership = state_.shards[i].ownership;
            ownership.revision = 5;
            ownership.record = {"d1", "10.0.0.2:7000", 1, 7};
            // Otherwise the daemon would suspect the owner.
            ownership.next_claim = time_ms(1000000);
        }
    }

    daemon_state& state() { return state_; }
    void own_shards()
    {
        for (auto& shard : state_.shards)
        {
            shard.ownership.role = owner_role::owner;
        }
    }

    effect_list handle(event const& input)
    {
        now_ = now_ + time_ms(1);
        return reduce(state_, input, now_);
    }

private:
    time_ms now_{1000};
    daemon_state state_;
};

call_arrived submission_to(std::string const& prefix, std::string const& id)
{
    call_arrived call;
    call.call = 1;
    call.verb = call_verb::submit;
    call.host = "jobs.example";
    call.path = prefix + id;
    call.work = chain_of({2});
    call.time_limit = time_ms(3000);
    return call;
}

template<class Effect>
std::optional<Effect> last_of(effect_list const& all)
{
    std::optional<Effect> result;
    for (auto const& each : all)
    {
        if (auto const* const found = std::get_if<Effect>(&each))
        {
            result = *found;
        }
    }
    return result;
}

std::optional<answer::code> answer_in(effect_list const& all)
{
    auto const answered = last_of<answer_call>(all);
    return answered ? std::optional(answered->reply.result) : std::nullopt;
}

} // namespace

// Guards against accepted work that is lost and tasks that nobody sent: the
// owner did not have a queue below the prefix of another one yet, and took the
// rest of the path for the ID of a submission to that one.
TEST(forwarded_calls, a_nested_queue_is_not_taken_for_its_parent)
{
    two_regions deployment(901);
    deployment.cut_off_source_of(*deployment.owner());
    auto const front = deployment.front();
    deployment.configure({queue_with("batch", parent_prefix),
                          queue_with("weekly", nested_prefix),
                          queue_with("daily", "/batch/weekly/daily/")});
    ASSERT_LT(deployment.daemon(*deployment.owner()).config->version,
              deployment.daemon(front).config->version);
    for (auto i = 0; i < 4; ++i)
    {
        EXPECT_EQ(deployment.submit_to(front, nested_prefix, id_of(3 * i + 1)),
                  answer::code::ok);
        EXPECT_EQ(deployment.submit_to(front, "/batch/weekly/daily/",
                                       id_of(3 * i + 2)),
                  answer::code::ok);
        EXPECT_EQ(deployment.submit_to(front, parent_prefix, id_of(3 * i + 3)),
                  answer::code::ok);
    }
    deployment.settle();
    for (auto i = 0; i < 4; ++i)
    {
        deployment.expect_completed(nested_prefix, id_of(3 * i + 1));
        deployment.expect_completed("/batch/weekly/daily/", id_of(3 * i + 2));
        deployment.expect_completed(parent_prefix, id_of(3 * i + 3));
    }
}

// Guards against the same the other way round: the daemon that was called still
// has a queue that the owner knows to be removed.
TEST(forwarded_calls, a_removed_nested_queue_is_not_taken_for_its_parent)
{
    two_regions deployment(902);
    deployment.configure({queue_with("batch", parent_prefix),
                          queue_with("weekly", nested_prefix)});
    deployment.settle();
    auto const front = deployment.front();
    deployment.cut_off_source_of(front);
    deployment.configure({queue_with("batch", parent_prefix)});
    ASSERT_GT(deployment.daemon(*deployment.owner()).config->version,
              deployment.daemon(front).config->version);
    EXPECT_EQ(deployment.submit_to(front, nested_prefix, id_of(1)),
              answer::code::no_queue);
    EXPECT_EQ(deployment.submit_to(front, parent_prefix, id_of(2)),
              answer::code::ok);
    EXPECT_EQ(deployment.owned_shard().submissions.size(), 1U);
}

// Guards against submissions that are stored in a queue that the operators have
// replaced: the call was resolved again by the older configuration.
TEST(forwarded_calls, the_newer_configuration_selects_the_queue)
{
    for (auto const owner_is_late : {true, false})
    {
        two_regions deployment(903);
        auto const front = deployment.front();
        deployment.cut_off_source_of(owner_is_late ? *deployment.owner()
                                                   : front);
        auto replacement = queue_with("batch-2", parent_prefix);
        replacement.priority = 4;
        deployment.configure({replacement});
        EXPECT_EQ(deployment.submit_to(front, parent_prefix, id_of(1)),
                  answer::code::ok);
        auto const& stored = deployment.owned_shard().submissions.at(id_of(1));
        EXPECT_EQ(stored.queue, "batch-2") << owner_is_late;
        EXPECT_EQ(stored.terms.priority, 4U) << owner_is_late;
        deployment.settle();
        deployment.expect_completed(parent_prefix, id_of(1));
    }
}

// Guards against a cancel that stops nothing: it was remembered for an ID that
// no submission can have.
TEST(forwarded_calls, a_cancel_in_a_nested_queue_names_the_submission)
{
    two_regions deployment(904);
    deployment.cut_off_source_of(*deployment.owner());
    auto const front = deployment.front();
    deployment.configure({queue_with("batch", parent_prefix),
                          queue_with("weekly", nested_prefix)});
    deployment.prefix = nested_prefix;
    deployment.cancel(front, id_of(1));
    deployment.run_until(deployment.now() + time_ms(500));
    EXPECT_EQ(deployment.cancel_answers.at(id_of(1)).result,
              answer::code::no_submission);
    EXPECT_EQ(deployment.submit_to(front, nested_prefix, id_of(1)),
              answer::code::unavailable);
}

// Guards against a count of another queue: the owner, which is late, still has
// the queue that was replaced.
TEST(forwarded_calls, a_count_is_that_of_the_newer_queue)
{
    two_regions deployment(905);
    for (std::size_t i = 0; i < deployment.worker_count(); ++i)
    {
        deployment.worker(i).healthy = false;
    }
    auto const front = deployment.front();
    EXPECT_EQ(deployment.submit_to(front, parent_prefix, id_of(1)),
              answer::code::ok);
    deployment.cut_off_source_of(*deployment.owner());
    deployment.configure({queue_with("batch-2", parent_prefix)});
    EXPECT_EQ(deployment.submit_to(front, parent_prefix, id_of(2)),
              answer::code::ok);
    EXPECT_EQ(deployment.submit_to(front, parent_prefix, id_of(3)),
              answer::code::ok);
    EXPECT_EQ(deployment.show(front, "").pending, 2U);
}

// Guards against work that goes back to the older figures of its queue: a
// daemon takes over that has not read the configuration by which it was
// accepted.
TEST(forwarded_calls, a_late_new_owner_keeps_newer_terms)
{
    one_daemon late(configuration_of(6, {queue_with("batch", parent_prefix)}));
    late.own_shards();
    auto changed = queue_with("batch", parent_prefix);
    changed.service = "other";
    auto call = submission_to(parent_prefix, id_of(1));
    call.forwarded_to = 0;
    call.selected = selected_queue{7, changed};
    late.handle(call);
    auto const& accepted = late.state().shards[0].submissions.at(id_of(1));
    EXPECT_EQ(accepted.terms.service, "other");
    EXPECT_EQ(accepted.terms.config_version, 7U);

    // The same after a takeover by a daemon that is as late.
    daemon_state state;
    state.config = late.state().config;
    state.shards.resize(1);
    effect_list effects;
    shard_context ctx(context{state, time_ms(1000), effects}, state.shards[0]);
    auto& restored = submissions::add(
        ctx, {id_of(1), "batch", time_ms(0), chain_of({2}), accepted.terms});
    EXPECT_EQ(restored.terms.service, "other");
    state.config->version = 8;
    queue_terms::configuration_changed(ctx);
    EXPECT_EQ(restored.terms.service, "svc");
}

// A daemon of an earlier release does not name the queue of a call that it
// forwards. Guards against such calls that are refused while a release is
// rolled out, or that are served for an ID that no submission can have.
TEST(forwarded_calls, calls_of_an_earlier_release_are_served)
{
    one_daemon owner(configuration_of(6, {queue_with("batch", parent_prefix)}));
    owner.own_shards();
    auto call = submission_to(nested_prefix, id_of(1));
    call.forwarded_to = 0;
    EXPECT_EQ(answer_in(owner.handle(call)), answer::code::unavailable);
    call = submission_to(parent_prefix, id_of(1));
    call.forwarded_to = 0;
    EXPECT_EQ(answer_in(owner.handle(call)), std::nullopt);
    EXPECT_EQ(owner.state().shards[0].submissions.size(), 1U);
}

// Guards against a call that meets three versions of the configuration and is
// served by the oldest one: the owner of the first shard passes it on to that
// of the second one, which is late.
TEST(forwarded_calls, the_newest_of_three_versions_selects_the_queue)
{
    constexpr std::size_t shards = 2;
    auto number = 1;
    while (layout::first_shard_of(id_of(number), shards)
           == layout::second_shard_of(id_of(number), shards))
    {
        ++number;
    }
    auto const id = id_of(number);
    auto const first = layout::first_shard_of(id, shards);
    auto const second = layout::second_shard_of(id, shards);
    one_daemon front(configuration_of(6, {queue_with("batch", parent_prefix)}),
                     shards);
    auto const sent =
        last_of<forward_call>(front.handle(submission_to(parent_prefix, id)));
    ASSERT_TRUE(sent);
    EXPECT_EQ(sent->shard, first);
    EXPECT_EQ(sent->selected.config_version, 6U);

    one_daemon newest(
        configuration_of(8, {queue_with("batch-8", parent_prefix)}), shards);
    newest.own_shards();
    newest.state().shards[first].relocations[id] = {
        {id, second, time_ms(0)}, true, {}};
    auto call = submission_to(parent_prefix, id);
    call.forwarded_to = first;
    call.selected = sent->selected;
    auto const moved = last_of<answer_call>(newest.handle(call));
    ASSERT_TRUE(moved);
    EXPECT_EQ(moved->reply.result, answer::code::moved);

    auto const sent_again = last_of<forward_call>(
        front.handle(forward_replied{1, first, moved->reply}));
    ASSERT_TRUE(sent_again);
    EXPECT_EQ(sent_again->shard, second);
    EXPECT_EQ(sent_again->selected.target.name, "batch-8");

    one_daemon late(configuration_of(5, {queue_with("batch-5", parent_prefix)}),
                    shards);
    late.own_shards();
    call.forwarded_to = second;
    call.selected = sent_again->selected;
    late.handle(call);
    EXPECT_EQ(late.state().shards[second].submissions.at(id).queue, "batch-8");
}

// Guards against a caller that is told that its work was refused although it
// may have been accepted: the first attempt had no answer, and the owner has
// learned since that the queue was removed.
TEST(forwarded_calls, a_removed_queue_refuses_no_work_that_may_be_accepted)
{
    one_daemon front(configuration_of(6, {queue_with("batch", parent_prefix)}));
    front.handle(submission_to(parent_prefix, id_of(1)));
    front.handle(forward_replied{1, 0, {answer::code::unknown, {}, 0, 0}});
    EXPECT_EQ(answer_in(front.handle(
                  forward_replied{1, 0, {answer::code::no_queue, {}, 0, 0}})),
              answer::code::unknown);
}

// Guards against a call that waits for an owner and is served by the
// configuration of its arrival, although its queue has been removed meanwhile.
TEST(forwarded_calls, a_call_that_waits_is_refused_when_its_queue_is_removed)
{
    for (auto const tried : {false, true})
    {
        one_daemon front(
            configuration_of(6, {queue_with("batch", parent_prefix)}));
        front.handle(submission_to(parent_prefix, id_of(1)));
        front.handle(forward_replied{
            1,
            0,
            {tried ? answer::code::unknown : answer::code::not_owner,
             {},
             0,
             0}});
        front.state().config =
            configuration_of(7, {queue_with("other", "/other/")});
        std::optional<answer::code> result;
        for (auto i = 0; i < 100 && !result; ++i)
        {
            result = answer_in(front.handle(timer_due{}));
        }
        EXPECT_EQ(result,
                  tried ? answer::code::unknown : answer::code::no_queue);
    }
}

} // namespace jaydrift::schedule::testing
