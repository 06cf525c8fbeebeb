#ifndef JAYDRIFT_SOAK_STATE_HPP
#define JAYDRIFT_SOAK_STATE_HPP

#include <jaydrift/core/random.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/soak/daemon_view.hpp>
#include <jaydrift/soak/key_value_store.hpp>
#include <jaydrift/soak/link_id.hpp>
#include <jaydrift/soak/open_attempt.hpp>
#include <jaydrift/soak/open_request.hpp>
#include <jaydrift/soak/options.hpp>
#include <jaydrift/soak/oracle.hpp>
#include <jaydrift/soak/task_worker.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jaydrift::soak {

/// Everything that the soak knows: the stand-ins, the callers, the faults and
/// what has been seen.
struct state
{
    options settings;
    random_source random;
    key_value_store store;
    std::vector<task_worker> workers;
    std::vector<daemon_view> daemons;
    oracle checks;

    /// Phases of a run.
    enum class phase : std::uint8_t
    {
        starting,
        faults,
        calm,
        cancelling,
        ended
    };
    phase stage = phase::starting;
    time_ms stage_since;

    std::vector<open_request> requests;
    std::map<std::uint64_t, open_attempt> attempts;
    std::map<link_id, time_ms> harmed_links;

    /// Workers that start again, and daemons that go on, at a time.
    std::map<std::size_t, time_ms> restarts;
    std::map<std::size_t, time_ms> resumes;

    std::optional<time_ms> store_out_until;
    std::uint64_t lost_percent = 0;
    std::uint64_t late_percent = 0;
    std::optional<time_ms> answers_lost_until;
    std::optional<std::string> closed_zone;
    time_ms zone_closed_at;
    time_ms zone_opens_at;

    /// Last time a fault began or ended.
    time_ms disturbed_at;

    std::uint64_t config_version = 1;
    time_ms dropped_queue_at;
    std::uint64_t next_call = 1;
    std::uint64_t next_submission = 1;
    time_ms next_fault;
    time_ms next_arrival;
    time_ms next_check;
    time_ms next_tick;
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_STATE_HPP
