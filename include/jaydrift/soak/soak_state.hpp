#ifndef JAYDRIFT_SOAK_SOAK_STATE_HPP
#define JAYDRIFT_SOAK_SOAK_STATE_HPP

#include <jaydrift/core/random.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/soak/daemon_view.hpp>
#include <jaydrift/soak/key_value_store.hpp>
#include <jaydrift/soak/late_order_state.hpp>
#include <jaydrift/soak/link_id.hpp>
#include <jaydrift/soak/open_call.hpp>
#include <jaydrift/soak/open_request.hpp>
#include <jaydrift/soak/options.hpp>
#include <jaydrift/soak/oracle.hpp>
#include <jaydrift/soak/task_worker.hpp>
#include <jaydrift/soak/worker_drain.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jaydrift::soak {

/// The state of the soak's reducer: the simulated store and workers, the
/// callers, the faults in force and what callers and workers have seen.
struct soak_state
{
    options settings;
    random_source random;
    key_value_store store;
    std::vector<task_worker> workers;
    std::vector<daemon_view> daemons;
    soak::oracle oracle;

    /// Phases of a run. In `late_orders`, which replaces the phases from
    /// `faults` to `scaling_in`, workers start again and are cut off while
    /// orders are carried out late. In `silent_store` the faults are over
    /// except for a store that falls silent and returns. In
    /// `large_configuration` there are none, but the configuration is large and
    /// changes often, over a link that half of the daemons share. In
    /// `scaling_in` the faults are over except for slow links to the store, and
    /// workers drain and leave. In `recovery` accepted work must end. In
    /// `serving` all workers get serving tasks, which report high tail
    /// latencies, and in `filling` opportunistic work comes beside them, which
    /// must end as well. In `cancelling` the long-running submissions are
    /// cancelled, which must be confirmed. In `stopping_tasks` all cancelled
    /// tasks must stop.
    enum class phase : std::uint8_t
    {
        starting,
        late_orders,
        faults,
        silent_store,
        large_configuration,
        scaling_in,
        recovery,
        serving,
        filling,
        cancelling,
        stopping_tasks
    };
    phase current_phase = phase::starting;
    time_ms phase_since;

    /// With several shards, worker 0 is the only one of its kind. Each of its
    /// processes has another ID, so its shard changes.
    static constexpr std::size_t rare_worker = 0;
    static constexpr char const* rare_kind = "b";
    std::uint64_t rare_workers = 0;

    /// Daemons' requests to the store and the workers that still wait.
    std::vector<open_request> requests;

    /// Callers' open calls by `send_call::number`.
    std::map<std::uint64_t, open_call> open_calls;

    /// When the fault of each link ends.
    std::map<link_id, time_ms> faulty_links;

    /// When crashed workers start again and paused daemons get SIGCONT.
    std::map<std::size_t, time_ms> worker_restarts;
    std::map<std::size_t, time_ms> daemon_resumes;

    /// When daemons that are stopped in turn get SIGTERM.
    std::map<std::size_t, time_ms> daemon_stops;

    /// Workers that drain, by their numbers.
    std::map<std::size_t, worker_drain> draining;

    /// Stages of the phase `scaling_in`, which only `scale_in` reads.
    enum class scale_in_stage : std::uint8_t
    {
        calm,
        congested,
        slow,
        draining
    };
    scale_in_stage current_scale_in = scale_in_stage::calm;
    random_source scale_in_random;
    time_ms next_scale_in;

    /// Only `late_orders` reads it.
    late_order_state late_orders;

    /// Kind of the last fault, and how many more of this kind follow it in
    /// quick succession.
    std::uint64_t fault_kind = 0;
    std::uint64_t faults_left_in_series = 0;

    /// Until then the store answers 503.
    std::optional<time_ms> store_outage_until;

    /// Until then the store answers nothing, and when it has returned from its
    /// silence.
    std::optional<time_ms> store_silent_until;
    std::optional<time_ms> store_returned_at;
    random_source silent_store_random;

    /// Submissions of `short_tasks`.
    std::vector<std::string> short_submissions;

    /// Share of the writes to the store whose answer is lost, and of the orders
    /// to workers that are carried out late and not answered; both are 0 again
    /// after `message_faults_until`.
    std::uint64_t lost_answer_percent = 0;
    std::uint64_t late_order_percent = 0;
    std::optional<time_ms> message_faults_until;

    /// Until then serving tasks report tail latencies near their targets. The
    /// end of the other faults does not end this.
    std::optional<time_ms> high_tails_until;

    /// Zone in which nothing may start, and since when and until when.
    std::optional<std::string> evacuated_zone;
    time_ms evacuated_at;
    time_ms evacuation_until;

    /// Last time a fault began or ended; the restart of a worker or a daemon
    /// does not count. The limits for an evacuated zone and a removed queue
    /// count from here or from the change, whichever is later.
    time_ms disturbed_at;

    /// Last start of a daemon.
    time_ms daemon_started_at;

    /// Since when `waiting_check` has seen each submission wait while there is
    /// room.
    std::map<std::string, time_ms> waiting_since;

    /// Even versions have the queue "extra", odd ones do not.
    std::uint64_t config_version = 1;

    /// The configuration has many more queues, of which the first one is
    /// another with each version.
    bool large_configuration = false;
    time_ms next_large_change;

    /// When that queue was last added to the configuration or removed from it.
    time_ms queue_changed_at;

    /// Keys of the odd entries in the store, and the area of each, which only
    /// `other_writer` reads. Its random numbers are drawn from a source of its
    /// own.
    std::map<std::string, std::size_t> odd_entries;
    random_source other_writer_random;
    time_ms next_odd_entry;

    std::uint64_t next_call = 1;
    std::uint64_t next_submission = 1;
    time_ms next_fault;
    time_ms next_submission_at;
    time_ms next_check;
    time_ms next_tick;
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_SOAK_STATE_HPP
