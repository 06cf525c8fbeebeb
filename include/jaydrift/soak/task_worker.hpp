#ifndef JAYDRIFT_SOAK_TASK_WORKER_HPP
#define JAYDRIFT_SOAK_TASK_WORKER_HPP

#include <jaydrift/core/random.hpp>
#include <jaydrift/core/resources.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/http/request.hpp>
#include <jaydrift/http/response.hpp>
#include <jaydrift/soak/oracle.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace jaydrift::soak {

/// A simulated worker of the platform: runs tasks under a lease and checks
/// fencing tokens and its own capacity. It reports starts, ends and
/// acknowledgements to the oracle.
///
/// Orders start and stop runs. A hold is an order that extends the worker's
/// lease and asks which runs it has and which have ended.
class task_worker
{
public:
    /// `max_lease` is the longest lease that an order can grant from the time
    /// at which it is carried out.
    task_worker(std::string id, std::string address, std::string zone,
                time_ms max_lease, std::uint64_t seed);

    /// Carries out an order of a daemon and returns the answer.
    ///
    /// @throws codec::codec_error if the order is malformed.
    http::response handle(http::request const& order, oracle& oracle,
                          time_ms now);

    /// Ends runs whose work is done or whose lease has expired.
    void advance(oracle& oracle, time_ms now);

    /// Ends the process with all of its runs; it forgets its ends, fencing
    /// token and lease.
    void crash(oracle& oracle);
    void restart(time_ms now);

    /// Lets the next process be another worker on the same machine.
    void rename(std::string id) { id_ = std::move(id); }

    bool up() const { return up_; }
    std::string const& id() const { return id_; }
    std::string const& zone() const { return zone_; }
    time_ms process_started_at() const { return process_started_at_; }

    /// Highest fencing token that the process has seen; 0 if none.
    std::uint64_t token() const { return token_; }

    /// The record that the worker publishes in the store, as JSON.
    std::string record() const;

    /// Returns whether a heartbeat is due, which publishes the record again,
    /// and sets the time of the next one.
    bool heartbeat(time_ms now);

    /// True while an end of a run has not been acknowledged by a daemon.
    bool has_unacknowledged_ends() const { return !ended_.empty(); }

    /// Share of new runs that will fail.
    std::uint64_t failing_percent = 0;
    bool draining = false;

    /// Label that tasks may require.
    std::string kind = "a";

    /// Serving tasks report tail latencies of 80 to 95% of their target, not of
    /// 30 to 45%, whatever runs beside them.
    bool high_tails = false;

    resources const& capacity() const { return capacity_; }

    std::size_t unacknowledged_ends() const { return ended_.size(); }

    /// Capacity that the runs need; opportunistic ones need only memory.
    resources used() const;

private:
    struct run
    {
        std::uint64_t number = 0;
        resources demand;
        time_ms run_time;
        time_ms done_at;
        time_ms latency_target;
        bool long_running = false;
        bool opportunistic = false;
        bool fails = false;
    };

    /// Entry of the list of ended runs in the reply to a hold.
    struct ended_run
    {
        /// Number of the end; each end has the next one. A daemon acknowledges
        /// all ends up to a number.
        std::uint64_t number = 0;
        std::string task;

        /// Number of the run.
        std::uint64_t run = 0;
        std::string outcome;
    };

    /// The worker's clock starts with its process; leases use it.
    time_ms clock(time_ms now) const { return now - process_started_at_; }
    http::response reply(unsigned status, std::string_view reason,
                         time_ms now) const;
    http::response start(http::request const& order, oracle& oracle,
                         time_ms now);
    http::response hold_reply(time_ms now);

    /// Returns the part of the capacity that a run needs.
    static resources room_of(run const& of);

    /// Returns the tail latency of a serving task in ms, else the millicores in
    /// use.
    std::int64_t load(run const& of);
    void finish(std::string const& task, std::string_view outcome,
                oracle& oracle);
    void acknowledge(std::uint64_t number, oracle& oracle);

    std::string id_;
    std::string address_;
    std::string zone_;
    time_ms max_lease_;
    random_source random_;

    /// Millicores, MB of memory, accelerators.
    resources capacity_{8000, 32000, 0};
    bool up_ = true;
    time_ms process_started_at_;

    /// Number of the last heartbeat of the process.
    std::uint64_t sequence_ = 0;
    time_ms heartbeat_interval_;
    time_ms next_heartbeat_;

    /// Highest fencing token seen.
    std::uint64_t token_ = 0;

    /// By the worker's clock; all runs share one lease.
    time_ms lease_until_;

    /// The run of each task that runs.
    std::map<std::string, run> runs_;

    /// For each task the highest run number that was stopped or has ended;
    /// runs up to it are refused.
    std::map<std::string, std::uint64_t> refused_runs_;

    /// Ends that no daemon has acknowledged, oldest first.
    std::vector<ended_run> ended_;
    std::uint64_t last_end_ = 0;
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_TASK_WORKER_HPP
