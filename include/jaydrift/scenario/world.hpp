#ifndef JAYDRIFT_SCENARIO_WORLD_HPP
#define JAYDRIFT_SCENARIO_WORLD_HPP

#include <jaydrift/core/job_request.hpp>
#include <jaydrift/core/operator_reply.hpp>
#include <jaydrift/core/operator_request.hpp>
#include <jaydrift/core/store_request.hpp>
#include <jaydrift/core/urgent_request.hpp>
#include <jaydrift/decide/effect.hpp>
#include <jaydrift/decide/event.hpp>
#include <jaydrift/scenario/caller_answer.hpp>
#include <jaydrift/scenario/daemon_node.hpp>
#include <jaydrift/scenario/event_queue.hpp>
#include <jaydrift/scenario/network.hpp>
#include <jaydrift/scenario/oracle.hpp>
#include <jaydrift/scenario/worker_node.hpp>
#include <jaydrift/scenario/world_settings.hpp>
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

/// Runs the reducers of several daemons over the stand-ins of the platform on
/// a virtual clock, with an oracle that watches the workers and the callers.
class world
{
public:
    explicit world(world_settings settings);

    time_ms now() const { return now_; }

    /// Runs everything that happens in the next `duration`.
    void advance(time_ms duration);

    /// Runs until a condition holds; returns false after `limit`.
    bool run_until(std::function<bool()> const& condition, time_ms limit);

    void kill_daemon(std::string const& name);
    void start_daemon(std::string const& name);
    void freeze_daemon(std::string const& name);
    void resume_daemon(std::string const& name);

    /// Asks a daemon to stop gracefully.
    void stop_daemon(std::string const& name);

    void kill_worker(std::string const& name);

    /// Starts a failed worker's VM anew, with nothing running.
    void start_worker(std::string const& name);
    void mark_worker(std::string const& name, vm_state state);
    void set_worker_fault(std::string const& name, standin::worker_fault fault,
                          std::int64_t value);

    void set_store_fault(standin::store_fault fault, std::int64_t value);

    /// A caller sends a request to a daemon; its answer is kept.
    void submit(std::string const& daemon, urgent_request const& request);

    /// Sends the request to the daemons in turn until one gives an answer that
    /// is not a lost connection.
    void submit_with_retries(urgent_request const& request, time_ms interval);

    void send_job(std::string const& daemon, job_request const& request);
    void send_operator(std::string const& daemon,
                       operator_request const& request);

    /// Applies the deployment's usual policy and waits until it is in force.
    bool apply_default_policy(std::string const& daemon);

    std::vector<std::string> daemon_names() const;
    std::vector<std::string> worker_names() const;
    daemon_node const& daemon(std::string_view name) const;
    worker_node const& worker(std::string_view name) const;
    standin::store_state const& store() const { return store_; }
    scenario::network& network() { return network_; }
    oracle const& checks() const { return oracle_; }

    std::span<caller_answer const> answers() const { return answers_; }
    std::vector<caller_answer> answers_of(std::string_view request) const;
    /// Returns the jobs whose submission was acknowledged.
    std::set<std::string> const& acknowledged_jobs() const
    {
        return acknowledged_jobs_;
    }

    /// Tells whether a live daemon serves each shard.
    bool every_shard_served() const;

    job_reply const* last_job_reply(std::string_view job) const;
    operator_reply const* last_operator_reply() const;
    std::uint64_t operator_replies() const { return operator_replies_; }

    /// Returns log lines and time line events of all daemons, oldest first.
    std::span<std::string const> trace() const { return trace_; }

private:
    void add_workers();
    void add_daemons();
    void deliver(daemon_node& node, decide::event const& input);
    void run_daemon(daemon_node& node, decide::event const& input);
    void arm_timer(daemon_node& node);
    void interpret(daemon_node& node, decide::effect const& item);

    /// Returns a function that delivers the first event it is given, unless the
    /// daemon has been restarted: a reply or its timeout.
    std::function<void(decide::event const&)> deliver_once(daemon_node& node);
    void perform(daemon_node& node, decide::send_worker const& item);
    void perform(daemon_node& node, decide::send_store const& item);
    void perform(daemon_node& node, decide::send_peer const& item);
    void answer(daemon_node& node, std::uint64_t call,
                decide::effect const& item);
    void exit(daemon_node& node);

    void call_daemon(std::string const& name,
                     std::function<decide::event(std::uint64_t)> const& make,
                     std::function<void(decide::effect const&)> reply);
    void call_worker(worker_node& node, worker_request const& request,
                     std::function<void(worker_reply const&)> reply);
    void run_worker(worker_node& node, standin::worker_event const& input);
    void arm_timer(worker_node& node);
    void observe(worker_node& node);

    void call_store(store_request const& request,
                    std::function<void(store_reply const&)> reply);
    void run_store(standin::store_event const& input);
    void arm_store_timer();

    /// Tells the oracle of each policy version that became durable.
    void observe_policy();

    void at(time_ms when, event_queue::action task);
    void retry(urgent_request const& request, std::size_t turn,
               time_ms interval, time_ms give_up_at);
    void note(std::string_view node, std::string text);

    world_settings settings_;
    time_ms now_{1000};
    event_queue queue_;
    scenario::network network_;
    random_source random_;
    oracle oracle_;
    std::map<std::string, daemon_node, std::less<>> daemons_;
    std::map<std::string, worker_node, std::less<>> workers_;
    standin::store_state store_;
    std::uint64_t last_store_call_ = 0;
    std::map<std::uint64_t, std::function<void(store_reply const&)>>
        store_calls_;
    time_ms store_timer_at_;
    std::uint64_t policy_revision_ = 0;
    std::vector<caller_answer> answers_;
    std::map<std::string, job_reply, std::less<>> job_replies_;
    std::set<std::string> acknowledged_jobs_;
    std::optional<operator_reply> last_operator_reply_;
    std::uint64_t operator_replies_ = 0;
    std::vector<std::string> trace_;
};

} // namespace jaydrift::scenario

#endif // JAYDRIFT_SCENARIO_WORLD_HPP
