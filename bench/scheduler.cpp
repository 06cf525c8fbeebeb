#include <jaydrift/codec/record_codec.hpp>
#include <jaydrift/schedule/context.hpp>
#include <jaydrift/schedule/daemon_state.hpp>
#include <jaydrift/schedule/event.hpp>
#include <jaydrift/schedule/reduce.hpp>
#include <jaydrift/schedule/submissions.hpp>
#include <platform/caller_messages.hpp>

#include <chrono>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <string>
#include <vector>

namespace {

using namespace jaydrift;
using namespace jaydrift::schedule;

using microseconds = std::chrono::duration<double, std::micro>;

/// Returns the processor time that this process has used.
microseconds processor_time()
{
    return std::chrono::duration<double>(static_cast<double>(std::clock())
                                         / CLOCKS_PER_SEC);
}

/// Virtual time, in seconds, that `run_submission` advances in its timed parts:
/// 20 ms and twice 100 ms. The ticks of that time are subtracted.
constexpr double ticked_seconds_per_submission = 0.22;

/// Measures the time that the reducer takes for the decisions of the owner of
/// one shard with a given number of workers, without any input or output.
class owner_bench
{
public:
    explicit owner_bench(std::size_t workers)
    {
        settings options;
        options.node = "bench";
        options.address = "10.0.0.1:7000";
        state_ = initial_state(options, now_);
        configuration config;
        config.version = 1;
        config.queues.push_back(
            {"q", "h", "/q/", "svc", 0, 3, 2.0, time_ms(1000)});
        state_.config = config;
        state_.shards.resize(1);
        state_.shards[0].ownership.role = owner_role::owner;
        state_.shards[0].ownership.revision = 5;
        for (std::size_t i = 0; i < workers; ++i)
        {
            add_worker(i);
        }
    }

    /// Returns the microseconds per submission of four tasks with their starts,
    /// their ends and 220 ms of ticks.
    double submission_us(std::size_t count)
    {
        auto const total =
            measure(count, [this](std::size_t i) { run_submission(i); });
        return total - untimed_.count() / static_cast<double>(count);
    }

    /// Returns the microseconds per second of virtual time in which every
    /// worker answers one hold order.
    double second_of_holds_us(std::size_t seconds)
    {
        return measure(seconds, [this](std::size_t) {
            for (auto const& hold : collect_holds())
            {
                answer_hold(hold, {});
            }
        });
    }

    /// Returns the microseconds per second of virtual time without any answer.
    double idle_second_us(std::size_t seconds)
    {
        static_cast<void>(collect_holds());
        return measure(seconds,
                       [this](std::size_t) { advance(time_ms(1000)); });
    }

private:
    /// Returns the average microseconds of `count` calls of `action`.
    template<class Action>
    double measure(std::size_t count, Action action)
    {
        auto const start = processor_time();
        for (std::size_t i = 0; i < count; ++i)
        {
            action(i);
        }
        return (processor_time() - start).count() / static_cast<double>(count);
    }

    void add_worker(std::size_t number)
    {
        auto const id = "i-" + std::to_string(number);
        auto& worker = state_.shards[0].workers[id];
        worker.entry = {id,    "svc",      "10.1.0.1:80",
                        "a",   {"k", "r"}, {64000, 250000, 0},
                        false, time_ms(1)};
        worker.in_fleet_record = true;
        worker.fenced = true;
        worker.process_confirmed = true;
        worker.clock = time_ms(1000);
        worker.clock_received_at = now_;
        worker.lease_until = time_ms(1000000000);
    }

    /// Reduces an event and collects the calls to workers and to the store.
    effect_list step(event const& input)
    {
        auto effects = reduce(state_, input, now_);
        for (auto const& effect : effects)
        {
            if (auto const* const call = std::get_if<worker_call>(&effect))
            {
                worker_calls_.push_back(*call);
            }
            // Reads stay unanswered: without their records, a reply would
            // remove all workers.
            else if (auto const* const request =
                         std::get_if<store_call>(&effect);
                     request
                     && std::holds_alternative<store_transaction>(
                         request->request))
            {
                store_calls_.push_back(request->call);
            }
        }
        return effects;
    }

    /// Advances the virtual time in ticks: after a longer step, the owner would
    /// conclude that its process had been frozen.
    void advance(time_ms duration)
    {
        constexpr time_ms tick{20};
        for (auto const end = now_ + duration; now_ < end;)
        {
            now_ += tick;
            step(timer_due{now_});
        }
    }

    /// Advances by a second, after which every worker's next hold order is due,
    /// and takes the calls to workers.
    std::vector<worker_call> collect_holds()
    {
        advance(time_ms(1000));
        return std::exchange(worker_calls_, {});
    }

    /// Answers a hold order and reports `ended`, the runs that have ended.
    void answer_hold(worker_call const& call, std::vector<reported_end> ended)
    {
        worker_replied reply;
        reply.call = call.call;
        reply.status = worker_status::ok;
        reply.clock = now_;
        reply.process_started_at = time_ms(1);
        reply.ended = std::move(ended);
        step(reply);
    }

    /// Lets the owner write its records, and answers all calls to the store.
    void answer_store_calls()
    {
        advance(time_ms(100));
        for (auto const call : std::exchange(store_calls_, {}))
        {
            store_replied reply;
            reply.call = call;
            reply.status = store_status::ok;
            reply.revision = ++revision_;
            step(reply);
        }
    }

    /// Submits four tasks, confirms their starts and reports their ends. The
    /// wait for the hold orders is not timed.
    void run_submission(std::size_t number)
    {
        auto id = std::to_string(number);
        id.insert(0, 16 - id.size(), '0');
        call_arrived request;
        request.call = number + 1;
        request.verb = call_verb::submit;
        request.host = "h";
        request.path = "/q/" + id;
        submission work;
        step_spec spec;
        spec.count = 4;
        spec.demand = {1000, 1000, 0};
        work.steps = {spec};
        request.work = work;
        step(request);
        answer_store_calls();
        advance(time_ms(20));
        for (auto const& call : std::exchange(worker_calls_, {}))
        {
            if (auto const* const start = std::get_if<start_order>(&call.order))
            {
                worker_replied reply;
                reply.call = call.call;
                reply.status = worker_status::ok;
                reply.clock = now_;
                step(reply);
                unreported_runs_[call.worker].push_back(start->run);
            }
            else
            {
                answer_hold(call, {});
            }
        }
        auto const untimed_start = processor_time();
        auto const holds = collect_holds();
        untimed_ += processor_time() - untimed_start;
        for (auto const& hold : holds)
        {
            if (unreported_runs_[hold.worker].empty())
            {
                continue;
            }
            std::vector<reported_end> ended;
            for (auto const& run :
                 std::exchange(unreported_runs_[hold.worker], {}))
            {
                ended.push_back(
                    {++end_numbers_[hold.worker], run, run_outcome::done, {}});
            }
            answer_hold(hold, std::move(ended));
        }
        answer_store_calls();
        worker_calls_.clear();
    }

    daemon_state state_;
    time_ms now_{1000};
    /// Last revision of the store.
    std::uint64_t revision_ = 10;
    /// Time inside `run_submission` that does not count.
    microseconds untimed_{0};
    std::vector<worker_call> worker_calls_;
    std::vector<std::uint64_t> store_calls_;
    /// By worker: the runs whose end is still to be reported, and the number of
    /// the last end that was reported.
    std::map<std::string, std::vector<run_id>> unreported_runs_;
    std::map<std::string, std::uint64_t> end_numbers_;
};

/// Returns the microseconds that decoding one submission and encoding its
/// record take.
double codec_us()
{
    constexpr std::size_t count = 20000;
    std::string const body =
        R"({"spec":"text","steps":[{"count":8,"cpu":7000,"memMb":13000,)"
        R"("estimateMs":1700,"checkpointing":true,"image":"a","fills":true},)"
        R"({"count":8,"cpu":7000,"memMb":13000,"estimateMs":1700,"after":[0],)"
        R"("checkpointing":true,"image":"a","fills":true}]})";
    auto const start = processor_time();
    std::size_t bytes = 0;
    for (std::size_t i = 0; i < count; ++i)
    {
        submission_record const record{"00000000000000a1", "q", time_ms(1),
                                       platform::decode_submission(body)};
        bytes += codec::encode_record(record).size();
    }
    auto const elapsed = processor_time() - start;
    return bytes == 0 ? 0.0 : elapsed.count() / count;
}

} // namespace

int main()
{
    std::cout << "submission_codec: " << codec_us() << " us\n";
    for (std::size_t const workers : {48U, 350U, 700U})
    {
        auto const suffix = "_" + std::to_string(workers) + "_workers: ";
        owner_bench quiet(workers);
        auto const holds = quiet.second_of_holds_us(20);
        auto const idle = owner_bench(workers).idle_second_us(20);
        std::cout << "idle_second" << suffix << idle << " us\n";
        std::cout << "hold" << suffix
                  << (holds - idle) / static_cast<double>(workers) << " us\n";
        auto const work = owner_bench(workers).submission_us(100);
        std::cout << "submission_of_4_tasks" << suffix
                  << work - ticked_seconds_per_submission * idle << " us\n";
    }
    return EXIT_SUCCESS;
}
