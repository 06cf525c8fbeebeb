#ifndef JAYDRIFT_SCENARIO_SIMULATION_HPP
#define JAYDRIFT_SCENARIO_SIMULATION_HPP

#include <jaydrift/core/job_request.hpp>
#include <jaydrift/core/operator_reply.hpp>
#include <jaydrift/core/operator_request.hpp>
#include <jaydrift/core/store_request.hpp>
#include <jaydrift/core/urgent_request.hpp>
#include <jaydrift/decide/effect.hpp>
#include <jaydrift/decide/event.hpp>
#include <jaydrift/scenario/action_queue.hpp>
#include <jaydrift/scenario/caller_answer.hpp>
#include <jaydrift/scenario/daemon_node.hpp>
#include <jaydrift/scenario/network.hpp>
#include <jaydrift/scenario/oracle.hpp>
#include <jaydrift/scenario/simulation_settings.hpp>
#include <jaydrift/scenario/worker_node.hpp>
#include <jaydrift/standin/store_event.hpp>
#include <jaydrift/standin/store_state.hpp>
#include <jaydrift/standin/worker_event.hpp>
#include <jaydrift/standin/worker_fault.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jaydrift::scenario {

/// Simulation of a deployment on a virtual clock. It runs the reducers of the
/// daemons, of the workers and of the store, and an oracle checks what workers
/// run and what callers are told. For an unknown process name,
/// `std::invalid_argument` or `std::out_of_range` is thrown: at once, or when a
/// message to the process is delivered.
class simulation
{
public:
    /// Starts all processes of the deployment.
    explicit simulation(simulation_settings settings);

    /// Returns the time of the virtual clock.
    time_ms now() const { return now_; }

    /// Runs all actions that are due within `duration` and advances the clock
    /// by it.
    void advance(time_ms duration);

    /// Runs actions until a condition holds, at most for `limit`. Returns
    /// whether the condition holds at the end.
    bool run_until(std::function<bool()> const& condition, time_ms limit);

    void kill_daemon(std::string const& name);

    /// Starts a daemon's process anew, with no state from an earlier run.
    void start_daemon(std::string const& name);

    /// Pauses a daemon's process; events that arrive wait until it resumes.
    void freeze_daemon(std::string const& name);
    void resume_daemon(std::string const& name);

    /// Asks a daemon to stop gracefully.
    void stop_daemon(std::string const& name);

    /// Fails a worker's VM; everything that runs on it is lost.
    void kill_worker(std::string const& name);

    /// Starts a failed worker's VM anew, with nothing running.
    void start_worker(std::string const& name);

    /// Changes the state of a worker's VM in the platform's VM list.
    void mark_worker(std::string const& name, vm_state state);
    void set_worker_fault(std::string const& name, standin::worker_fault fault,
                          std::int64_t value);
    void set_store_fault(standin::store_fault fault, std::int64_t value);

    /// Sends a request of a caller to a daemon. The answer is added to
    /// `answers`.
    void submit(std::string const& daemon, urgent_request const& request);

    /// Sends the request to the daemons in turn, one at each `interval`, until
    /// it is answered as completed or its time limit has passed.
    void submit_with_retries(urgent_request const& request, time_ms interval);

    /// Sends a request about a job to a daemon. The latest reply for each job
    /// is kept.
    void send_job(std::string const& daemon, job_request const& request);

    /// Sends a request of an operator to a daemon. The latest reply is kept.
    void send_operator(std::string const& daemon,
                       operator_request const& request);

    /// Applies the deployment's default policy. Waits for the reply and
    /// returns whether the policy is in force.
    bool apply_default_policy(std::string const& daemon);

    std::vector<std::string> daemon_names() const;
    std::vector<std::string> worker_names() const;
    daemon_node const& daemon(std::string_view name) const;
    worker_node const& worker(std::string_view name) const;
    standin::store_state const& store() const { return store_; }
    scenario::network& network() { return network_; }
    scenario::oracle const& oracle() const { return oracle_; }

    /// Returns the answers that callers received, oldest first.
    std::span<caller_answer const> answers() const { return answers_; }
    std::vector<caller_answer> answers_of(std::string_view request_id) const;

    /// Returns the IDs of the jobs whose submission was acknowledged.
    std::set<std::string> const& acknowledged_jobs() const
    {
        return acknowledged_jobs_;
    }

    /// Tells whether each shard is served by a daemon that is alive and not
    /// frozen.
    bool every_shard_served() const;

    /// Returns the latest reply about a job, or null if there is none.
    job_reply const* last_job_reply(std::string_view job) const;

    /// Returns the latest reply to an operator, or null if there is none.
    operator_reply const* last_operator_reply() const;

    /// Returns how many replies operators received.
    std::uint64_t operator_replies() const { return operator_replies_; }

    /// Returns the log lines and timeline events of all daemons and the changes
    /// of the state of daemons and workers, oldest first. Each line begins with
    /// the time in milliseconds and the name of the process.
    std::span<std::string const> trace() const { return trace_; }

private:
    void add_workers();
    void add_daemons();

    /// Gives an event to a daemon. A dead daemon drops it. A frozen daemon
    /// drops a timer and handles any other event when it resumes.
    void deliver(daemon_node& node, decide::event const& input);

    /// Reduces an event and carries out the effects, up to one that ends the
    /// process.
    void run_daemon(daemon_node& node, decide::event const& input);

    /// Schedules the next `timer_due` event of the daemon's reducer.
    void arm_timer(daemon_node& node);

    /// Carries out an effect of the daemon's reducer.
    void interpret(daemon_node& node, decide::effect const& effect);

    /// Returns a function that delivers only the first event it is given, and
    /// only to the present incarnation of the daemon. So the daemon gets either
    /// a reply or its timeout.
    std::function<void(decide::event const&)> deliver_once(daemon_node& node);
    void send(daemon_node& node, decide::send_worker const& effect);
    void send(daemon_node& node, decide::send_store const& effect);
    void send(daemon_node& node, decide::send_peer const& effect);

    /// Closes an open call to the daemon and gives the answer to its handler.
    void answer_call(daemon_node& node, std::uint64_t call,
                     decide::effect const& effect);
    void exit_daemon(daemon_node& node);

    /// Opens a call to a daemon and delivers the event that `make_event` makes
    /// from the number of the call. A dead daemon never answers.
    void
    call_daemon(std::string const& name,
                std::function<decide::event(std::uint64_t)> const& make_event,
                std::function<void(decide::effect const&)> on_answer);
    void call_worker(worker_node& node, worker_request const& request,
                     std::function<void(worker_reply const&)> on_reply);

    /// Reduces an event of a worker and carries out the effects.
    void run_worker(worker_node& node, standin::worker_event const& input);
    void arm_timer(worker_node& node);

    /// Gives the oracle the new entries of the worker's run log and the
    /// resources that its tasks hold.
    void report_to_oracle(worker_node& node);

    void call_store(store_request const& request,
                    std::function<void(store_reply const&)> on_reply);

    /// Reduces an event of the store and carries out the effects.
    void run_store(standin::store_event const& input);
    void arm_store_timer();

    /// Tells the oracle which zones are open in a policy version that has
    /// become durable.
    void report_policy_to_oracle();

    /// Runs an action at the given time, but not before now.
    void schedule(time_ms due, action_queue::action action);

    /// Sends the next attempt of `submit_with_retries`, unless the request has
    /// been completed or `deadline` has passed, and schedules the one after it.
    void retry(urgent_request const& request, std::size_t daemon_index,
               time_ms interval, time_ms deadline);
    void add_trace(std::string_view process, std::string text);

    simulation_settings settings_;

    /// Time of the virtual clock in milliseconds.
    time_ms now_{1000};

    /// Actions that are due now or later.
    action_queue actions_;
    scenario::network network_;
    random_source random_;
    scenario::oracle oracle_;
    std::map<std::string, daemon_node, std::less<>> daemons_;
    std::map<std::string, worker_node, std::less<>> workers_;
    standin::store_state store_;

    /// Number of the latest call to the store.
    std::uint64_t last_store_call_ = 0;

    /// Handlers of the replies to open calls, by the number of the call.
    std::map<std::uint64_t, std::function<void(store_reply const&)>>
        store_calls_;

    /// When the pending timer of the store expires; 0 if there is none.
    time_ms store_timer_at_;

    /// Store revision of the policy that the oracle was last told of.
    std::uint64_t policy_revision_ = 0;
    std::vector<caller_answer> answers_;
    std::map<std::string, job_reply, std::less<>> job_replies_;
    std::set<std::string> acknowledged_jobs_;
    std::optional<operator_reply> last_operator_reply_;
    std::uint64_t operator_replies_ = 0;
    std::vector<std::string> trace_;
};

} // namespace jaydrift::scenario

#endif // JAYDRIFT_SCENARIO_SIMULATION_HPP
