#ifndef JAYDRIFT_SCHEDULE_SIMULATED_WORKER_TEST_HPP
#define JAYDRIFT_SCHEDULE_SIMULATED_WORKER_TEST_HPP

#include "simulated_interference_test.hpp"

#include <jaydrift/core/random.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/step_spec.hpp>
#include <jaydrift/schedule/worker_call.hpp>
#include <jaydrift/schedule/worker_entry.hpp>
#include <jaydrift/schedule/worker_replied.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jaydrift::schedule::testing {

/// A worker in memory. Like the workers of the platform it checks leases and
/// fencing tokens itself.
class simulated_worker
{
public:
    /// Called on each event, for the checks of a test: a run has started or
    /// ended on a worker, or its end was acknowledged.
    struct observer
    {
        std::function<void(std::string const&, run_id const&)> started;
        std::function<void(std::string const&, run_id const&, run_outcome)>
            ended;
        std::function<void(run_id const&)> acknowledged;
    };

    /// Returns the step of a task.
    using step_lookup = std::function<step_spec const&(task_id const&)>;

    simulated_worker(worker_entry entry, observer events, step_lookup step_of,
                     std::uint64_t seed);

    /// Carries an order out and returns the reply.
    worker_replied execute(worker_call const& call, time_ms now);

    /// Returns whether the present process has seen a fencing token.
    bool has_token() const { return token_ > 0; }

    /// Ends runs whose work is done or whose lease has passed.
    void advance(time_ms now);

    /// Restarts the process, which loses all runs and what it knew of them.
    void restart(time_ms now);

    worker_entry const& entry() const { return entry_; }
    worker_entry& entry() { return entry_; }

    /// Share of runs that fail, in percent.
    std::uint64_t failing_percent = 0;

    /// If present, runs last for the estimate of their step at full pace and
    /// report what they use, and long-running ones do not end by themselves.
    /// Otherwise all runs end after a random time and report no load.
    std::optional<simulated_interference> interference;

    /// A longer lease is shortened to this.
    time_ms longest_lease{6000};

    /// Ends that the worker lists in one reply.
    std::size_t max_listed_ends = 500;

    /// Orders reach the worker.
    bool reachable = true;

    /// The process runs.
    bool up = true;

    /// The worker carries out orders; otherwise it refuses all as unavailable.
    bool healthy = true;

    /// Starts are carried out; otherwise they are refused as unavailable.
    bool accepts_starts = true;

private:
    struct run
    {
        time_ms done_at;
        run_outcome outcome = run_outcome::done;
        step_spec spec;
        std::uint32_t pace_percent = 100;

        /// Time that the work so far takes at full pace, in hundredths of a
        /// millisecond.
        std::int64_t worked = 0;
    };

    worker_replied reply(worker_status status, time_ms now) const;
    worker_status start(start_order const& order, time_ms now);
    void finish(run_id const& id, run_outcome outcome);
    void acknowledge(std::uint64_t number);
    bool is_done(run const& each, time_ms now) const;

    /// Returns what the worker tells of a run. The first one is used without
    /// `interference`.
    reported_run timed_report(run_id const& id, run const& each,
                              time_ms now) const;
    reported_run report(run_id const& id, run const& each) const;

    /// Returns the tail latency of serving tasks, relative to their target.
    double relative_tail() const;

    /// Returns the worker's clock, which starts with its process.
    time_ms clock(time_ms now) const { return now - clock_start_; }

    worker_entry entry_;
    observer events_;
    step_lookup step_of_;
    random_source random_;
    time_ms clock_start_;
    time_ms advanced_to_;
    std::uint64_t token_ = 0;
    time_ms lease_until_;
    std::map<run_id, run> runs_;

    /// Highest number of a run that ended or was stopped, by task; starts up to
    /// it are refused.
    std::map<task_id, std::uint64_t> highest_refused_;

    /// Ends that are not acknowledged.
    std::vector<reported_end> ended_;
    std::uint64_t last_end_number_ = 0;
};

} // namespace jaydrift::schedule::testing

#endif // JAYDRIFT_SCHEDULE_SIMULATED_WORKER_TEST_HPP
