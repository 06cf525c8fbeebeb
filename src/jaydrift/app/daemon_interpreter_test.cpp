#include <jaydrift/app/daemon_interpreter.hpp>

#include <map>
#include <vector>

#include <gtest/gtest.h>

#include <jaydrift/app/call_admission.hpp>

namespace jaydrift::app {

using namespace literals;

namespace {

/// Keeps the callback of the last call to each service until the test invokes
/// it.
struct fake_transport
{
    void call_worker(std::string address, worker_request, time_ms timeout,
                     result_callback<worker_reply> done)
    {
        addresses.push_back(std::move(address));
        timeouts.push_back(timeout);
        worker = std::move(done);
    }
    void call_store(store_request, time_ms, result_callback<store_reply> done)
    {
        store = std::move(done);
    }
    void call_peer(std::string address, peer_request, time_ms,
                   result_callback<peer_reply> done)
    {
        addresses.push_back(std::move(address));
        peer = std::move(done);
    }

    std::vector<std::string> addresses;
    std::vector<time_ms> timeouts;
    result_callback<worker_reply> worker;
    result_callback<store_reply> store;
    result_callback<peer_reply> peer;
};

struct daemon_interpreter_test : testing::Test
{
    /// Takes the next event from the queue.
    template<class Event>
    Event pop_event()
    {
        auto input = events.pop(0_ms);
        EXPECT_TRUE(input.has_value());
        return std::get<Event>(std::move(input->value));
    }

    /// Returns a responder that appends its answer to `answers`.
    net::responder<request_result> caller()
    {
        return net::responder<request_result>(
            [this](std::optional<request_result> result) {
                answers.push_back(std::move(result));
            });
    }

    // Declared first, because calls that are still open add their answers when
    // the members below are destroyed.
    std::vector<std::optional<request_result>> answers;
    process::event_queue<decide::event> events{1};
    open_calls calls{2};
    timeline event_timeline{"d1", 10};
    process::metrics metrics;
    fake_transport transport;
    daemon_interpreter<fake_transport> interpreter{transport, events, calls,
                                                   event_timeline, metrics};
    call_admission admission{events, calls, event_timeline, metrics};
};

} // namespace

// Guards against replies that reach the reducer with the wrong correlation or
// the wrong sender, so that they would be taken for the reply to another call.
TEST_F(daemon_interpreter_test, turns_replies_into_events)
{
    interpreter.execute(
        decide::send_worker{"w1", "127.0.0.1:1", 7, 50_ms, fence_request()});
    worker_reply reply;
    reply.epoch = 3;
    transport.worker(reply);
    auto const replied = pop_event<decide::worker_replied>();
    EXPECT_EQ(replied.worker, "w1");
    EXPECT_EQ(replied.correlation, 7U);
    EXPECT_EQ(replied.reply.epoch, 3U);
    EXPECT_EQ(transport.timeouts, (std::vector{50_ms}));

    interpreter.execute(
        decide::send_peer{"d2", "127.0.0.1:2", 8, 50_ms, heartbeat()});
    transport.peer(peer_acknowledgement{true});
    auto const answered = pop_event<decide::peer_replied>();
    EXPECT_EQ(answered.daemon, "d2");
    EXPECT_EQ(answered.correlation, 8U);
    EXPECT_EQ(transport.addresses,
              (std::vector<std::string>{"127.0.0.1:1", "127.0.0.1:2"}));

    interpreter.execute(decide::send_store{9, 50_ms, read_request()});
    store_reply stored;
    stored.revision = 4;
    transport.store(stored);
    EXPECT_EQ(pop_event<decide::store_replied>().reply.revision, 4U);
}

// Guards against running a request twice: if only the answer was lost, but the
// call is reported as never sent, the reducer sends the request again.
TEST_F(daemon_interpreter_test, keeps_whether_a_failed_call_was_sent)
{
    for (bool const never_sent : {true, false})
    {
        net::rpc_failure const failure{never_sent, "reason"};
        interpreter.execute(
            decide::send_worker{"w1", {}, 7, 50_ms, fence_request()});
        transport.worker(failure);
        auto const worker = pop_event<decide::worker_failed>();
        EXPECT_EQ(worker.never_sent, never_sent);
        EXPECT_EQ(worker.correlation, 7U);
        interpreter.execute(decide::send_peer{"d2", {}, 8, 50_ms, heartbeat()});
        transport.peer(failure);
        EXPECT_EQ(pop_event<decide::peer_failed>().never_sent, never_sent);
        interpreter.execute(decide::send_store{9, 50_ms, read_request()});
        transport.store(failure);
        EXPECT_EQ(pop_event<decide::store_failed>().never_sent, never_sent);
    }
}

// Guards against a faulty reducer that answers a call twice or with a call
// number that is not open: the caller must get the first answer to its own call
// only.
TEST_F(daemon_interpreter_test, answers_each_call_once)
{
    admission.on_request(urgent_request(), caller());
    auto const input = pop_event<decide::request_arrived>();
    interpreter.execute(decide::answer_caller{
        input.call + 1, {request_outcome::completed, "other", {}}});
    EXPECT_TRUE(answers.empty());
    for (auto const* const answer : {"first", "second"})
    {
        interpreter.execute(decide::answer_caller{
            input.call, {request_outcome::completed, answer, {}}});
    }
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0]->answer, "first");
    EXPECT_EQ(calls.callers.size(), 0U);
}

// Guards against a call that is shed without an answer, or that is answered as
// not run although its event was queued, when the queue or the table is full.
TEST_F(daemon_interpreter_test, answers_shed_calls_as_not_run_when_full)
{
    admission.on_request(urgent_request(), caller());
    admission.on_request(urgent_request(), caller()); // exceeds the queue
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0]->outcome, request_outcome::not_run);
    pop_event<decide::request_arrived>();
    admission.on_request(urgent_request(), caller());
    pop_event<decide::request_arrived>();
    admission.on_request(urgent_request(), caller()); // exceeds the table
    ASSERT_EQ(answers.size(), 2U);
    EXPECT_EQ(answers[1]->outcome, request_outcome::not_run);
    EXPECT_NE(
        metrics.text().find("jaydrift_shed_total{type=\"request_arrived\"} 2"),
        std::string::npos);
}

// Guards against a stop that leaves a queued call without an answer, or that
// answers a call as not run although the reducer has handled its event.
TEST_F(daemon_interpreter_test, answers_remaining_calls_at_the_end)
{
    admission.on_request(urgent_request(), caller());
    pop_event<decide::request_arrived>();
    admission.on_request(urgent_request(), caller());
    interpreter.execute(decide::exit_process());
    EXPECT_TRUE(events.finished());
    events.close();
    events.drain([this](decide::event const& unhandled) {
        admission.refuse(unhandled);
    });
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0]->outcome, request_outcome::not_run);
    calls.clear();
    ASSERT_EQ(answers.size(), 2U);
    EXPECT_EQ(answers[1], std::nullopt);
    admission.on_request(urgent_request(), caller());
    ASSERT_EQ(answers.size(), 3U);
    EXPECT_EQ(answers[2]->outcome, request_outcome::not_run);
}

// Guards against a peer that takes a shed request for one that may have run:
// the answer to a forwarded request must say that it was not run.
TEST_F(daemon_interpreter_test, answers_shed_forwarded_requests_as_not_run)
{
    events.close();
    std::vector<peer_reply> replies;
    net::responder<peer_reply> const respond(
        [&](std::optional<peer_reply> reply) { replies.push_back(*reply); });
    admission.on_peer(execute_request(), respond);
    ASSERT_EQ(replies.size(), 1U);
    EXPECT_EQ(std::get<request_result>(replies[0]).outcome,
              request_outcome::not_run);
}

// Guards against a load balancer that goes on to send requests during a planned
// stop, because the health check does not learn of it from the state.
TEST_F(daemon_interpreter_test, publishes_a_planned_stop)
{
    decide::daemon_state state{decide::daemon_settings()};
    interpreter.state_changed(state);
    EXPECT_FALSE(interpreter.stopping());
    state.stop.requested_at = 0_ms;
    interpreter.state_changed(state);
    EXPECT_TRUE(interpreter.stopping());
}

} // namespace jaydrift::app
