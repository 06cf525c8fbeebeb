#include <jaydrift/app/backend_options.hpp>
#include <jaydrift/app/backend_process.hpp>
#include <jaydrift/app/store_options.hpp>
#include <jaydrift/app/store_process.hpp>
#include <jaydrift/app/worker_options.hpp>
#include <jaydrift/app/worker_process.hpp>
#include <jaydrift/net/http_post.hpp>
#include <jaydrift/net/rpc_client.hpp>
#include <jaydrift/net/rpc_thread.hpp>
#include <jaydrift/net/store_service.hpp>
#include <jaydrift/net/worker_service.hpp>
#include <jaydrift/standin/answer_body.hpp>

#include <gtest/gtest.h>

#include <future>
#include <string>
#include <thread>
#include <utility>
#include <variant>

namespace jaydrift::app {

namespace {

using namespace literals;

std::string local(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

/// Runs a stand-in until the end of a test.
template<class Process>
class running
{
public:
    template<class Options>
    explicit running(Options const& options)
        : process_(options), control_([this] { process_.run(); })
    {
    }

    running(running const&) = delete;
    running& operator=(running const&) = delete;
    ~running() { stop(); }

    Process* operator->() { return &process_; }

    void stop()
    {
        if (control_.joinable())
        {
            process_.request_stop();
            control_.join();
        }
    }

private:
    Process process_;
    std::thread control_;
};

template<class Service>
auto send(net::rpc_thread& thread, std::uint16_t port,
          typename Service::request request, time_ms timeout = 10'000_ms)
{
    using result = net::rpc_result<typename Service::reply>;
    auto promise = std::make_shared<std::promise<result>>();
    auto future = promise->get_future();
    net::call<Service>(
        thread, local(port), std::move(request), timeout,
        [promise](result reply) { promise->set_value(std::move(reply)); });
    return future;
}

template<class Service>
auto call(net::rpc_thread& thread, std::uint16_t port,
          typename Service::request request)
{
    return std::get<typename Service::reply>(
        send<Service>(thread, port, std::move(request)).get());
}

int control(std::uint16_t port, std::string const& name,
            std::string const& value)
{
    auto const result = net::http_post(
        local(port), "/control/" + name + "?value=" + value, {}, "", 10'000_ms);
    return std::get<net::http_response>(result).status;
}

ownership_term term() { return {{"north", 0}, 1, "a", 1}; }

start_request urgent(std::string id, std::string payload)
{
    start_request request;
    request.term = term();
    request.task.id = std::move(id);
    request.task.kind = "tally";
    request.task.priority = task_class::urgent;
    request.attempt = 1;
    request.start_before = time_ms(INT64_MAX);
    request.payload = std::move(payload);
    return request;
}

/// A store, a worker that has joined its VM list, and a backend server.
struct platform
{
    net::rpc_thread thread;
    running<store_process> store{store_settings()};
    running<backend_process> backend{backend_settings()};
    running<worker_process> worker{worker_settings()};

    static store_options store_settings()
    {
        store_options options;
        options.limits.vm_list_lag = 0_ms;
        return options;
    }

    static backend_options backend_settings()
    {
        backend_options options;
        options.name = "b1";
        return options;
    }

    worker_options worker_settings()
    {
        worker_options options;
        options.vm.worker = "w1";
        options.vm.region = "north";
        options.vm.zone = "arima";
        options.vm.rack = "r1";
        options.backend = local(backend->http_port());
        options.vm_list = local(store->http_port());
        return options;
    }

    void lease()
    {
        auto const port = worker->rpc_port();
        call<net::worker_service>(thread, port, fence_request{term()});
        call<net::worker_service>(
            thread, port, renew_request{term(), time_ms(INT64_MAX), 0, {}});
    }
};

} // namespace

// Guards against a path from a daemon to a backend server that is broken, and
// against large answers that are cut.
TEST(standin_processes, urgent_request_reaches_the_backend_server)
{
    platform all;
    all.lease();
    std::string const payload = "size=1000000";
    auto const reply = call<net::worker_service>(
        all.thread, all.worker->rpc_port(), urgent("r1", payload));
    EXPECT_EQ(reply.outcome, worker_outcome::ok);
    EXPECT_EQ(reply.answer, standin::answer_body("r1", "tally", payload));
    auto const list = call<net::store_service>(
        all.thread, all.store->rpc_port(), list_vms_request{0});
    ASSERT_EQ(list.vms.size(), 1U);
    EXPECT_EQ(list.vms[0].address, local(all.worker->rpc_port()));
}

// Guards against an outage that tells its callers: they must time out.
TEST(standin_processes, outage_leaves_calls_without_an_answer)
{
    platform all;
    auto const port = all.store->rpc_port();
    EXPECT_EQ(control(all.store->http_port(), "outage", "1"), 200);
    auto const lost =
        send<net::store_service>(all.thread, port, read_request{""}, 200_ms)
            .get();
    ASSERT_TRUE(std::holds_alternative<net::rpc_failure>(lost));
    EXPECT_FALSE(std::get<net::rpc_failure>(lost).never_sent);
    EXPECT_EQ(control(all.store->http_port(), "outage", "0"), 200);
    EXPECT_EQ(
        call<net::store_service>(all.thread, port, read_request{""}).outcome,
        store_outcome::ok);
    EXPECT_EQ(control(all.store->http_port(), "outage", "2"), 400);
    EXPECT_EQ(control(all.store->http_port(), "no-such", "1"), 400);
}

// Guards against a planned stop that cuts off a request in flight.
TEST(standin_processes, worker_stops_after_its_urgent_requests)
{
    platform all;
    all.lease();
    EXPECT_EQ(control(all.backend->http_port(), "slow", "300"), 200);
    auto answer = send<net::worker_service>(all.thread, all.worker->rpc_port(),
                                            urgent("r1", ""));
    // Control calls are handled in order, so this one waits for the start.
    auto const known = call<net::worker_service>(
        all.thread, all.worker->rpc_port(), urgent("r1", ""));
    EXPECT_EQ(known.outcome, worker_outcome::already_started);
    all.worker.stop();
    auto const reply = std::get<worker_reply>(answer.get());
    EXPECT_EQ(reply.outcome, worker_outcome::ok);
    EXPECT_EQ(reply.answer, standin::answer_body("r1", "tally", ""));
}

} // namespace jaydrift::app
