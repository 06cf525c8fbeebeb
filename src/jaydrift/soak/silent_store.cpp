#include "silent_store.hpp"

#include "callers.hpp"
#include "fault_helpers.hpp"
#include "faults.hpp"
#include "scale_in.hpp"
#include "short_tasks.hpp"

#include <jaydrift/soak/soak_state.hpp>

#include <string>

namespace jaydrift::soak::silent_store {

namespace {

/// Time to recover from earlier faults before the silence, and for checks
/// after it.
constexpr time_ms calm_time{4000};
constexpr time_ms check_time{7000};

/// Time for the submissions of short tasks to be accepted.
constexpr time_ms acceptance_time{1200};

constexpr std::int64_t min_silence_ms = 2000;
constexpr std::int64_t max_silence_ms = 12000;

constexpr time_ms probe_interval{250};

/// Workers that drain leave this long after the store's return.
constexpr time_ms serving_time{5000};

void fall_silent(soak_state& state, time_ms now, effect_list& effects)
{
    auto const length =
        random_time(state.silent_store_random, min_silence_ms, max_silence_ms);
    state.store_silent_until = now + length;
    state.disturbed_at = now;
    std::erase_if(state.requests, [](open_request const& each) {
        return !each.worker && !each.unanswered;
    });
    print(effects, now,
          "store silent for " + std::to_string(length.count()) + " ms");
}

void return_to_service(soak_state& state, time_ms now, effect_list& effects)
{
    short_tasks::report_ends(state, now, effects);
    state.store_silent_until.reset();
    state.disturbed_at = now;
    state.store_returned_at = now;
    print(effects, now, "store back");
    faults::change_configuration(state, now, effects);
    scale_in::drain_workers(state, state.silent_store_random,
                            now + serving_time, now, effects);
}

} // namespace

bool run(soak_state& state, time_ms now, effect_list& effects)
{
    if (now - state.phase_since >= calm_time - acceptance_time)
    {
        short_tasks::submit(state, now, effects);
    }
    if (!state.store_returned_at && !state.store_silent_until
        && now - state.phase_since >= calm_time)
    {
        fall_silent(state, now, effects);
    }
    if (state.store_silent_until && now >= *state.store_silent_until)
    {
        return_to_service(state, now, effects);
    }
    if (!state.store_returned_at)
    {
        return false;
    }
    if (now - *state.store_returned_at >= serving_time)
    {
        short_tasks::allow_restarts(state);
    }
    if (now >= state.next_check)
    {
        state.next_check = now + probe_interval;
        callers::probe_extra_queue(state, now, effects);
    }
    return now - *state.store_returned_at >= check_time;
}

} // namespace jaydrift::soak::silent_store
