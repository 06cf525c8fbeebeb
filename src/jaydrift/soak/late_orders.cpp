#include "late_orders.hpp"

#include "callers.hpp"
#include "fault_helpers.hpp"
#include "faults.hpp"
#include "simulated_platform.hpp"

#include <jaydrift/codec/base64.hpp>
#include <jaydrift/codec/codec_error.hpp>
#include <jaydrift/codec/json.hpp>
#include <jaydrift/soak/soak_state.hpp>

#include <algorithm>
#include <string>

namespace jaydrift::soak::late_orders {

namespace {

/// Time for long tasks to start before the first round.
constexpr time_ms calm_time{3000};

constexpr std::uint64_t late_percent = 20;
constexpr std::int64_t min_lateness_ms = 2000;
constexpr std::int64_t max_lateness_ms = 12000;

/// Times of a round: until the workers start again, from there until they are
/// cut off, and how long they are.
constexpr std::int64_t min_absence_ms = 300;
constexpr std::int64_t max_absence_ms = 1000;
constexpr std::int64_t min_connected_ms = 2000;
constexpr std::int64_t max_connected_ms = 3000;
constexpr std::int64_t min_cut_ms = 9000;
constexpr std::int64_t max_cut_ms = 11000;

constexpr std::int64_t min_round_interval_ms = 6000;
constexpr std::int64_t max_round_interval_ms = 16000;

/// One round in this many kills the owner of a shard, about when the workers
/// are cut off.
constexpr std::uint64_t owner_kill_one_in = 3;
constexpr std::int64_t max_owner_kill_delay_ms = 4000;

/// Long tasks fill about a third of the workers.
constexpr std::uint32_t tasks_of_submission = 4;
constexpr std::int64_t min_run_ms = 12000;
constexpr std::int64_t max_run_ms = 18000;
constexpr std::int64_t submission_interval_per_worker_ms = 9600;

/// Between submissions of other work, which the workers that are left can
/// carry.
constexpr time_ms other_submission_interval{400};

void begin_round(soak_state& state, time_ms now, effect_list& effects)
{
    auto& current = state.late_orders;
    current.next_round = now
                         + random_time(current.random, min_round_interval_ms,
                                       max_round_interval_ms);
    state.disturbed_at = now;
    auto const* const zone = current.random.below(2) == 0 ? "a" : "b";
    for (std::size_t i = 0; i < state.workers.size(); ++i)
    {
        if (state.workers[i].zone() != zone)
        {
            continue;
        }
        auto const back =
            now + random_time(current.random, min_absence_ms, max_absence_ms);
        simulated_platform::crash_worker(state, i, back);
        current.cuts[i] =
            back
            + random_time(current.random, min_connected_ms, max_connected_ms);
    }
    if (current.random.below(owner_kill_one_in) == 0)
    {
        current.owner_kill =
            now + random_time(current.random, 0, max_owner_kill_delay_ms);
    }
    print(effects, now, std::string("workers of zone ") + zone + " crash");
}

/// Cuts off the workers that are due. The other faults end the cuts.
void cut_off(soak_state& state, time_ms now, effect_list& effects)
{
    auto& current = state.late_orders;
    std::erase_if(current.cuts, [&](auto const& each) {
        if (now < each.second)
        {
            return false;
        }
        link_id const link{true, each.first};
        state.disturbed_at = now;
        state.faulty_links[link] =
            now + random_time(current.random, min_cut_ms, max_cut_ms);
        effects.push_back(set_link{link, link_mode::silent});
        print(effects, now,
              "worker " + std::to_string(each.first) + " is cut off");
        return true;
    });
}

/// Kills the daemon that the store names as the owner of a random shard.
void kill_owner(soak_state& state, time_ms now, effect_list& effects)
{
    auto& current = state.late_orders;
    current.owner_kill.reset();
    auto const shard =
        current.random.below(std::max(1U, state.settings.shards));
    auto const record = state.store.value("jaydrift/coordination/owner/"
                                          + std::to_string(shard));
    try
    {
        auto const name = codec::text(
            codec::parse_object(codec::decode_base64(record)), "node");
        for (std::size_t i = 0; i < state.daemons.size(); ++i)
        {
            if (name == "d" + std::to_string(i))
            {
                state.disturbed_at = now;
                faults::kill(state, i, effects);
                print(effects, now, "owner " + name + " killed");
            }
        }
    }
    catch (codec::codec_error const& fault)
    {
        state.oracle.add_violation(
            std::string("the owner of a shard cannot be read: ")
            + fault.what());
    }
}

void submit(soak_state& state, time_ms now, effect_list& effects)
{
    auto& current = state.late_orders;
    current.next_submission =
        now
        + time_ms(submission_interval_per_worker_ms
                  / static_cast<std::int64_t>(state.workers.size()));
    callers::submit_tasks(state, tasks_of_submission,
                          random_time(current.random, min_run_ms, max_run_ms),
                          now, effects);
}

} // namespace

bool run(soak_state& state, time_ms now, effect_list& effects)
{
    auto& current = state.late_orders;
    auto const rounds_end =
        state.phase_since + calm_time + state.settings.length;
    if (now < rounds_end)
    {
        current.percent = late_percent;
        if (now >= current.next_submission)
        {
            submit(state, now, effects);
        }
        if (now >= current.next_other_submission)
        {
            current.next_other_submission = now + other_submission_interval;
            callers::tick(state, now, effects);
        }
        if (now - state.phase_since >= calm_time && now >= current.next_round)
        {
            begin_round(state, now, effects);
        }
    }
    cut_off(state, now, effects);
    if (current.owner_kill && now >= *current.owner_kill)
    {
        kill_owner(state, now, effects);
    }
    if (now < rounds_end || !current.cuts.empty()
        || !state.faulty_links.empty())
    {
        return false;
    }
    current.percent = 0;
    return std::none_of(state.requests.begin(), state.requests.end(),
                        [](open_request const& each) {
                            return each.process_started_at.has_value();
                        });
}

std::optional<time_ms> due_time(soak_state& state, bool is_hold, time_ms now)
{
    auto& current = state.late_orders;
    if ((state.settings.late_holds_only && !is_hold)
        || current.order_random.below(100) >= current.percent)
    {
        return std::nullopt;
    }
    return now
           + random_time(current.order_random, min_lateness_ms,
                         max_lateness_ms);
}

} // namespace jaydrift::soak::late_orders
