#ifndef JAYDRIFT_DECIDE_DAEMON_STATE_HPP
#define JAYDRIFT_DECIDE_DAEMON_STATE_HPP

#include <jaydrift/core/random.hpp>
#include <jaydrift/decide/batch_state.hpp>
#include <jaydrift/decide/daemon_settings.hpp>
#include <jaydrift/decide/journal_state.hpp>
#include <jaydrift/decide/membership_state.hpp>
#include <jaydrift/decide/ownership_state.hpp>
#include <jaydrift/decide/policy_state.hpp>
#include <jaydrift/decide/request_state.hpp>
#include <jaydrift/decide/stop_state.hpp>
#include <jaydrift/decide/worker_state.hpp>

#include <cstdint>
#include <utility>

namespace jaydrift::decide {

/// The whole state of a daemon's reducer. Each module writes only its own
/// member and reads the others through the functions of their modules.
struct daemon_state
{
    explicit daemon_state(daemon_settings initial)
        : settings(std::move(initial)), random(settings.random_seed)
    {
    }

    daemon_settings settings;
    random_source random;

    /// Last number that `context::next_correlation` gave out.
    std::uint64_t last_correlation = 0;

    membership_state membership;
    ownership_state ownership;
    policy_state policy;
    worker_state workers;
    request_state requests;
    batch_state batch;
    journal_state journal;
    stop_state stop;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_DAEMON_STATE_HPP
