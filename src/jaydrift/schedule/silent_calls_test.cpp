#include <jaydrift/schedule/silent_calls.hpp>

#include <jaydrift/schedule/context.hpp>
#include <jaydrift/schedule/event.hpp>
#include <jaydrift/schedule/reduce.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

#include <gtest/gtest.h>

namespace jaydrift::schedule {

namespace {

constexpr time_ms tick_interval{10};

/// A daemon that has read its areas and watches them. The test answers its
/// calls, except writes, which the store carries out at once.
class watching_daemon
{
public:
    watching_daemon()
    {
        settings options;
        options.node = "d0";
        options.address = "10.0.0.1:7000";
        state_ = initial_state(options, now_);
        run(tick_interval);
        for (auto const area :
             {store_area::operators, store_area::coordination})
        {
            answer(*call_of<read_area>(area));
        }
    }

    void run(time_ms duration)
    {
        for (auto const end = now_ + duration; now_ < end;
             now_ += tick_interval)
        {
            handle(timer_due{now_});
        }
    }

    void answer(std::uint64_t call) { end(call, store_status::ok); }

    /// Answers the question whether the store answers, if it is in flight.
    void answer_probe()
    {
        if (auto const call = probe())
        {
            answer(*call);
        }
    }

    void lose(std::uint64_t call) { end(call, store_status::lost); }

    /// Returns the call in flight about an area, if there is one.
    template<class Request>
    std::optional<std::uint64_t> call_of(store_area area) const
    {
        for (auto const& call : open_)
        {
            auto const* const request = std::get_if<Request>(&call.request);
            if (request && request->area == area)
            {
                return call.call;
            }
        }
        return std::nullopt;
    }

    std::uint64_t operators_watch() const
    {
        return call_of<watch_area>(store_area::operators).value();
    }

    /// Returns the read of the revision in flight, if there is one.
    std::optional<std::uint64_t> probe() const
    {
        for (auto const& call : open_)
        {
            if (std::holds_alternative<read_revision>(call.request))
            {
                return call.call;
            }
        }
        return std::nullopt;
    }

    time_ms time_limit_of(std::uint64_t number) const
    {
        auto const found = std::find_if(
            open_.begin(), open_.end(),
            [number](store_call const& each) { return each.call == number; });
        return found->time_limit;
    }

    /// Returns whether the daemon has ended the call early.
    bool has_ended(std::uint64_t number) const
    {
        return std::any_of(ended.begin(), ended.end(),
                           [number](end_silent_call const& each) {
                               return each.call == number;
                           });
    }

    std::vector<end_silent_call> ended;
    std::size_t probes = 0;

private:
    void end(std::uint64_t call, store_status status)
    {
        std::erase_if(open_, [call](store_call const& each) {
            return each.call == call;
        });
        store_replied reply;
        reply.call = call;
        reply.status = status;
        reply.revision = 10;
        // The daemon is registered, so it writes no more.
        reply.items.push_back(
            {{record_kind::member, "d0"},
             10,
             false,
             member_record{"d0", "10.0.0.1:7000", 1.0, "north"}});
        handle(reply);
    }

    void handle(event const& input)
    {
        for (auto const& output : reduce(state_, input, now_))
        {
            auto const* const call = std::get_if<store_call>(&output);
            if (call
                && std::holds_alternative<store_transaction>(call->request))
            {
                answer(call->call);
            }
            else if (call)
            {
                open_.push_back(*call);
                probes += std::holds_alternative<read_revision>(call->request)
                              ? 1
                              : 0;
            }
            else if (auto const* const end =
                         std::get_if<end_silent_call>(&output))
            {
                ended.push_back(*end);
            }
        }
    }

    time_ms now_{1000};
    daemon_state state_;
    std::vector<store_call> open_;
};

} // namespace

// Guards against a view that waits for a reply which never comes: nothing else
// is sent that could show that the store is back.
TEST(silent_calls,
     a_call_without_a_reply_ends_once_the_store_answers_a_later_one)
{
    watching_daemon daemon;
    auto const watch = daemon.operators_watch();
    daemon.run(time_ms(1600));
    ASSERT_TRUE(daemon.probe());
    EXPECT_TRUE(daemon.ended.empty());
    daemon.answer(*daemon.probe());
    daemon.run(time_ms(60));
    ASSERT_FALSE(daemon.ended.empty());
    EXPECT_TRUE(daemon.has_ended(watch));
    daemon.lose(watch);
    daemon.run(time_ms(60));
    EXPECT_NE(daemon.operators_watch(), watch);
}

// Guards against large replies that are given up because a link or the store is
// slow: without a later call that was answered, a call keeps its time limit,
// which grows with each failure.
TEST(silent_calls, a_call_keeps_its_time_limit_while_the_store_answers_nothing)
{
    watching_daemon daemon;
    auto const watch = daemon.operators_watch();
    auto const first = daemon.time_limit_of(watch);
    daemon.lose(watch);
    daemon.run(time_ms(3000));
    EXPECT_TRUE(daemon.ended.empty());
    EXPECT_EQ(daemon.time_limit_of(daemon.operators_watch()), first * 2);
}

// Guards against a reply that never arrives because the store needs longer for
// it than for others, and each attempt is given up as early as the one before.
TEST(silent_calls, a_reply_that_takes_long_gets_more_time_with_each_attempt)
{
    watching_daemon daemon;
    auto watch = daemon.operators_watch();
    daemon.lose(watch);
    std::vector<std::int64_t> times;
    for (auto attempt = 0; attempt < 6; ++attempt)
    {
        while (!daemon.call_of<watch_area>(store_area::operators))
        {
            daemon.run(tick_interval);
        }
        watch = daemon.operators_watch();
        daemon.ended.clear();
        std::int64_t time = 0;
        while (!daemon.has_ended(watch) && time < 10000)
        {
            daemon.answer_probe();
            daemon.run(tick_interval);
            time += tick_interval.count();
        }
        times.push_back(time);
        daemon.lose(watch);
    }
    EXPECT_LE(times[0], 700);
    EXPECT_LE(times[1], 700);
    EXPECT_GE(times[2], 1000);
    EXPECT_GE(times[3], 2000);
    EXPECT_GE(times[4], 4000);
    EXPECT_LE(times[5], 4700);
}

// Guards against replies that are cut off by an answer to an earlier call,
// which says nothing about the store now.
TEST(silent_calls,
     an_answer_to_a_call_sent_before_the_reply_was_due_ends_nothing)
{
    watching_daemon daemon;
    daemon.run(time_ms(900));
    daemon.answer(daemon.call_of<watch_area>(store_area::coordination).value());
    daemon.run(time_ms(800));
    EXPECT_TRUE(daemon.ended.empty());
}

// Guards against a store that is loaded further by the questions whether it
// answers, and against questions in normal operation.
TEST(silent_calls, questions_are_rare_and_only_while_a_reply_is_overdue)
{
    watching_daemon daemon;
    daemon.run(time_ms(1400));
    EXPECT_EQ(daemon.probes, 0U);
    daemon.run(time_ms(10000));
    EXPECT_GE(daemon.probes, 18U);
    EXPECT_LE(daemon.probes, 21U);
}

} // namespace jaydrift::schedule
