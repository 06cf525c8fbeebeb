#include <jaydrift/codec/record_codec.hpp>
#include <jaydrift/core/resources.hpp>
#include <jaydrift/schedule/context.hpp>
#include <jaydrift/schedule/daemon_state.hpp>
#include <jaydrift/schedule/event.hpp>
#include <jaydrift/schedule/reduce.hpp>
#include <jaydrift/schedule/submissions.hpp>
#include <platform/caller_messages.hpp>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <string>
#include <utility>
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

/// Microseconds of the owner's parts while submissions wait. A full pass
/// includes opportunistic tasks, another pass does not; the tick is one without
/// a pass, and the hold reply lists all runs of a worker.
struct backlog_costs
{
    double full_pass = 0;
    double other_pass = 0;
    double idle_tick = 0;
    double event_without_pass = 0;
    double hold_reply = 0;
};

/// What runs on each worker before submissions are made to wait.
struct worker_fill
{
    std::uint32_t serving_per_worker;
    std::uint32_t serving_images;
    resources serving_demand;
    std::uint32_t opportunistic_per_worker;
    std::uint32_t opportunistic_images;
    resources opportunistic_demand;
};

constexpr worker_fill half_full{2, 5, {3200, 6400, 0}, 13, 9, {2000, 3000, 0}};

/// Long-running tasks leave too few processors for another one or for an
/// average urgent task.
constexpr worker_fill nearly_full{4, 10, {14500, 26000, 0},
                                  6, 18, {3000, 13000, 0}};

/// Numbers of submissions that wait.
struct backlog
{
    std::size_t opportunistic = 0;
    std::size_t urgent = 0;
    std::size_t long_running = 0;
};

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

    /// Fills every worker with serving tasks near their latency target and with
    /// opportunistic tasks, lets the given numbers of submissions wait, and
    /// returns the costs of the owner's parts.
    backlog_costs with_backlog(worker_fill const& fill, backlog const& waiting,
                               std::size_t rounds)
    {
        fill_workers(fill);
        auto const firm = waiting.long_running + waiting.urgent;
        for (std::size_t i = 0; i < waiting.opportunistic + firm; ++i)
        {
            submit(i < waiting.opportunistic ? opportunistic_submission(i, fill)
                   : i < waiting.opportunistic + waiting.urgent
                       ? urgent_submission(i, fill)
                       : long_running_submission(i, fill));
            if (i % submissions_between_runs == 0)
            {
                run_for(answer_interval, near_target_ms);
            }
        }
        run_for(time_ms(1000), near_target_ms);
        auto& shard = state_.shards[0];
        constexpr time_ms long_ago{0};
        backlog_costs result;
        result.full_pass = measure(rounds, [&](std::size_t) {
            idle_event(now_ + tick_interval, long_ago, long_ago);
        });
        result.other_pass = measure(rounds, [&](std::size_t) {
            idle_event(now_ + tick_interval, long_ago, now_);
        });
        result.idle_tick =
            measure(rounds, [&](std::size_t) { idle_event(now_, now_, now_); });
        result.event_without_pass = measure(rounds, [&](std::size_t) {
            idle_event(now_ + tick_interval, now_, now_);
        });
        std::size_t replies = 0;
        microseconds spent{0};
        for (std::size_t i = 0; i < rounds / 10; ++i)
        {
            std::vector<worker_replied> batch;
            for (auto const& call : collect_holds())
            {
                if (std::holds_alternative<hold_order>(call.order))
                {
                    batch.push_back(hold_reply(call, near_target_ms));
                }
            }
            // Keeps the pass over the waiting tasks out of the figure.
            shard.last_pass = now_;
            auto const start = processor_time();
            for (auto const& reply : batch)
            {
                step(reply);
            }
            spent += processor_time() - start;
            replies += batch.size();
        }
        result.hold_reply = spent.count() / static_cast<double>(replies);
        return result;
    }

    /// Returns how many submissions have tasks that wait.
    std::size_t waiting_submissions() const
    {
        auto const& submissions = state_.shards[0].submissions;
        return static_cast<std::size_t>(std::count_if(
            submissions.begin(), submissions.end(),
            [](auto const& each) { return each.second.waiting_tasks > 0; }));
    }

    /// Returns the average number of runs on a worker.
    double runs_per_worker() const
    {
        std::size_t runs = 0;
        for (auto const& [id, worker] : state_.shards[0].workers)
        {
            runs += worker.runs.size();
        }
        return static_cast<double>(runs)
               / static_cast<double>(state_.shards[0].workers.size());
    }

private:
    static constexpr time_ms tick_interval{20};
    static constexpr resources worker_capacity{64000, 250000, 0};
    static constexpr time_ms latency_target{24};

    /// Tail latencies at which opportunistic tasks start, and at which they
    /// neither start nor change their pace.
    static constexpr std::int64_t far_below_target_ms = 4;
    static constexpr std::int64_t near_target_ms = 21;

    static constexpr std::size_t submissions_between_runs = 8;
    static constexpr time_ms answer_interval{100};

    /// Reduces an event that changes nothing. The tick and the passes take
    /// place if they are due at the times given.
    void idle_event(time_ms next_tick, time_ms last_pass,
                    time_ms last_full_pass)
    {
        auto& shard = state_.shards[0];
        state_.next_tick = next_tick;
        shard.last_pass = last_pass;
        shard.last_full_pass = last_full_pass;
        shard.placement_due = true;
        step(timer_due{now_});
    }

    /// Returns the reply of a worker with all of its runs at work, and its
    /// serving tasks at the given tail latency.
    worker_replied hold_reply(worker_call const& call, std::int64_t tail_ms)
    {
        worker_replied reply;
        reply.call = call.call;
        reply.status = worker_status::ok;
        reply.clock = now_;
        reply.process_started_at = time_ms(1);
        for (auto const& [id, run] : state_.shards[0].workers[call.worker].runs)
        {
            // Opportunistic runs advance at each report, so that none seems
            // to hang.
            auto const progress =
                run.long_running ? 100 : (run.progress_percent + 1) % 100;
            reply.running.push_back(
                {id,
                 {},
                 progress,
                 run.long_running ? tail_ms : run.demand.millicores / 2});
        }
        return reply;
    }

    /// Returns an opportunistic submission of two steps. Those with different
    /// numbers differ in image and demand.
    submission opportunistic_submission(std::size_t number,
                                        worker_fill const& fill) const
    {
        step_spec spec;
        spec.count = 8;
        spec.demand = {1200 + static_cast<std::int64_t>(number % 17) * 100,
                       3000, 0};
        spec.estimate = time_ms(2000 + static_cast<int>(number % 7) * 300);
        spec.image = "o-" + std::to_string(number % fill.opportunistic_images);
        spec.opportunistic = true;
        spec.checkpoints = true;
        submission work;
        work.steps = {spec, spec};
        work.steps[1].after = {0};
        return work;
    }

    /// Returns an urgent submission of two steps that finds no worker with
    /// enough free processors.
    submission urgent_submission(std::size_t number,
                                 worker_fill const& fill) const
    {
        step_spec spec;
        spec.count = 6;
        spec.demand = {
            worker_capacity.millicores
                - fill.serving_per_worker * fill.serving_demand.millicores
                + 1700 + static_cast<std::int64_t>(number % 17) * 100,
            2000, 0};
        spec.estimate = time_ms(600);
        submission work;
        work.steps = {spec, spec};
        work.steps[1].after = {0};
        return work;
    }

    /// Returns a submission of four long-running tasks that find no worker with
    /// enough free processors.
    submission long_running_submission(std::size_t number,
                                       worker_fill const& fill) const
    {
        submission work;
        work.steps = {serving_step(number, fill)};
        work.steps[0].count = 4;
        return work;
    }

    /// Returns a step with one serving task for each of some workers.
    step_spec serving_step(std::size_t number, worker_fill const& fill) const
    {
        step_spec spec;
        spec.demand = fill.serving_demand;
        spec.max_per_worker = 1;
        spec.latency_target = latency_target;
        spec.long_running = true;
        spec.image = "s-" + std::to_string(number % fill.serving_images);
        return spec;
    }

    /// Submits work under the next ID.
    void submit(submission work)
    {
        auto id = std::to_string(++submitted_);
        id.insert(0, 16 - id.size(), '0');
        call_arrived request;
        request.call = submitted_;
        request.verb = call_verb::submit;
        request.host = "h";
        request.path = "/q/" + id;
        request.work = std::move(work);
        step(request);
    }

    /// Starts serving tasks, then opportunistic ones, and reports that the
    /// former are near their target.
    void fill_workers(worker_fill const& fill)
    {
        auto const workers =
            static_cast<std::uint32_t>(state_.shards[0].workers.size());
        for (std::uint32_t i = 0;
             i < fill.serving_per_worker * fill.serving_images; ++i)
        {
            submission work;
            work.steps = {serving_step(i, fill)};
            work.steps[0].count = workers / fill.serving_images;
            submit(work);
        }
        run_for(time_ms(3000), far_below_target_ms);
        step_spec spec;
        spec.count =
            workers * fill.opportunistic_per_worker / fill.opportunistic_images;
        spec.demand = fill.opportunistic_demand;
        spec.opportunistic = true;
        spec.checkpoints = true;
        for (std::uint32_t i = 0; i < fill.opportunistic_images; ++i)
        {
            submission work;
            spec.image = "o-" + std::to_string(i);
            work.steps = {spec};
            submit(work);
        }
        run_for(time_ms(6000), far_below_target_ms);
        run_for(time_ms(3000), near_target_ms);
    }

    /// Advances the virtual time; the store and all workers answer.
    void run_for(time_ms duration, std::int64_t tail_ms)
    {
        for (auto const end = now_ + duration; now_ < end;)
        {
            answer_store_calls();
            for (auto const& call : std::exchange(worker_calls_, {}))
            {
                if (std::holds_alternative<hold_order>(call.order))
                {
                    step(hold_reply(call, tail_ms));
                    continue;
                }
                worker_replied reply;
                reply.call = call.call;
                reply.status = worker_status::ok;
                reply.clock = now_;
                step(reply);
            }
        }
    }

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
        worker.entry = {id,         "svc",           "10.1.0.1:80", "a",
                        {"k", "r"}, worker_capacity, false,         time_ms(1)};
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
        advance(answer_interval);
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

    /// Number of the last submission of `submit`, and of its call.
    std::uint64_t submitted_ = 0;
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

/// Prints the costs of the owner of a number of workers while submissions wait.
void print_backlog_costs(std::size_t workers, worker_fill const& fill,
                         backlog const& waiting, std::size_t rounds)
{
    owner_bench bench(workers);
    auto const costs = bench.with_backlog(fill, waiting, rounds);
    auto const suffix =
        "_" + std::to_string(waiting.opportunistic) + "_opportunistic_"
        + std::to_string(waiting.urgent) + "_urgent"
        + (waiting.long_running == 0
               ? ": "
               : "_" + std::to_string(waiting.long_running) + "_long_running_"
                     + std::to_string(workers) + "_workers: ");
    std::cout << "waiting" << suffix << bench.waiting_submissions()
              << " submissions\n"
              << "runs_per_worker" << suffix << bench.runs_per_worker()
              << " runs\n"
              << "full_pass" << suffix
              << costs.full_pass - costs.event_without_pass << " us\n"
              << "other_pass" << suffix
              << costs.other_pass - costs.event_without_pass << " us\n"
              << "idle_tick" << suffix
              << costs.idle_tick - costs.event_without_pass << " us\n"
              << "hold_reply" << suffix << costs.hold_reply << " us\n";
}

} // namespace

int main()
{
    std::cout << "submission_codec: " << codec_us() << " us\n";
    for (std::size_t const workers : {48U, 350U, 700U, 1100U})
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
    constexpr backlog backlogs[] = {
        {0, 0, 0}, {100, 0, 0}, {400, 0, 0}, {0, 150, 0}, {400, 150, 0}};
    for (auto const& waiting : backlogs)
    {
        print_backlog_costs(48, half_full, waiting, 200);
    }
    print_backlog_costs(350, nearly_full, {200, 50, 10}, 20);
    return EXIT_SUCCESS;
}
