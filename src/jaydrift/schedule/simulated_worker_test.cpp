#include "simulated_worker_test.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jaydrift::schedule::testing {

namespace {

constexpr time_ms shortest_run{200};
constexpr std::uint64_t run_spread_ms = 800;

/// A run reports 1 % less progress for each of these intervals that it has
/// left, and at most this much.
constexpr std::int64_t ms_per_percent = 11;
constexpr std::int64_t max_progress_percent = 99;

constexpr std::int64_t percent = 100;

} // namespace

simulated_worker::simulated_worker(worker_entry entry, observer events,
                                   step_lookup step_of, std::uint64_t seed)
    : entry_(std::move(entry)), events_(std::move(events)),
      step_of_(std::move(step_of)), random_(seed)
{
    entry_.process_started_at = time_ms(1);
}

worker_replied simulated_worker::reply(worker_status status, time_ms now) const
{
    worker_replied result;
    result.status = status;
    result.clock = clock(now);
    return result;
}

worker_replied simulated_worker::execute(worker_call const& call, time_ms now)
{
    advance(now);
    if (!healthy
        || (!accepts_starts && std::holds_alternative<start_order>(call.order)))
    {
        return reply(worker_status::unavailable, now);
    }
    if (call.token < token_)
    {
        return reply(worker_status::stale_token, now);
    }
    token_ = call.token;
    if (auto const* const order = std::get_if<start_order>(&call.order))
    {
        return reply(start(*order, now), now);
    }
    if (auto const* const order = std::get_if<stop_order>(&call.order))
    {
        auto& highest_refused = highest_refused_[order->run.task];
        highest_refused = std::max(highest_refused, order->run.number);
        if (runs_.contains(order->run))
        {
            finish(order->run, run_outcome::stopped);
        }
        return reply(worker_status::ok, now);
    }
    if (auto const* const order = std::get_if<pace_order>(&call.order))
    {
        auto const found = runs_.find(order->run);
        if (found != runs_.end())
        {
            found->second.pace_percent = order->pace_percent;
        }
        return reply(worker_status::ok, now);
    }
    auto const& hold = std::get<hold_order>(call.order);
    if (hold.lease_until)
    {
        lease_until_ =
            std::max(lease_until_,
                     std::min(*hold.lease_until, clock(now) + longest_lease));
    }
    acknowledge(hold.acknowledged_end);
    auto result = reply(worker_status::ok, now);
    result.process_started_at = entry_.process_started_at;
    for (auto const& [id, each] : runs_)
    {
        result.running.push_back(interference ? report(id, each)
                                              : timed_report(id, each, now));
    }
    result.ended.assign(ended_.begin(),
                        ended_.begin()
                            + static_cast<std::ptrdiff_t>(
                                std::min(ended_.size(), max_listed_ends)));
    result.more_ends = ended_.size() >= max_listed_ends;
    return result;
}

reported_run simulated_worker::timed_report(run_id const& id, run const& each,
                                            time_ms now) const
{
    auto const left = (each.done_at - now).count();
    return {id,
            {},
            static_cast<std::uint32_t>(
                max_progress_percent
                - std::min<std::int64_t>(max_progress_percent,
                                         left / ms_per_percent)),
            0};
}

reported_run simulated_worker::report(run_id const& id, run const& each) const
{
    auto const& spec = each.spec;
    reported_run result;
    result.run = id;
    result.progress_percent = static_cast<std::uint32_t>(
        spec.long_running
            ? percent
            : each.worked / std::max<std::int64_t>(1, spec.estimate.count()));
    if (spec.checkpoints)
    {
        result.checkpoint = std::to_string(each.worked);
    }
    result.load =
        spec.latency_target > time_ms(0)
            ? std::llround(static_cast<double>(spec.latency_target.count())
                           * relative_tail())
            : spec.demand.millicores * each.pace_percent / percent;
    return result;
}

double simulated_worker::relative_tail() const
{
    std::int64_t millicore_percents = 0;
    for (auto const& [id, each] : runs_)
    {
        if (each.spec.opportunistic)
        {
            millicore_percents +=
                each.spec.demand.millicores * each.pace_percent;
        }
    }
    auto const share = static_cast<double>(millicore_percents)
                       / static_cast<double>(percent)
                       / static_cast<double>(entry_.capacity.millicores);
    return interference->idle_tail * std::exp(interference->weight * share);
}

worker_status simulated_worker::start(start_order const& order, time_ms now)
{
    lease_until_ = std::max(
        lease_until_, std::min(order.lease_until, clock(now) + longest_lease));
    if (order.lease_until < clock(now))
    {
        return worker_status::expired;
    }
    if (runs_.contains(order.run))
    {
        return worker_status::ok;
    }
    auto const highest_refused = highest_refused_.find(order.run.task);
    if (highest_refused != highest_refused_.end()
        && order.run.number <= highest_refused->second)
    {
        return worker_status::old_run;
    }
    run added;
    added.done_at =
        now + shortest_run
        + time_ms(static_cast<std::int64_t>(random_.below(run_spread_ms)));
    added.outcome = random_.below(100) < failing_percent ? run_outcome::failed
                                                         : run_outcome::done;
    added.spec = step_of_(order.run.task);
    if (!order.checkpoint.empty())
    {
        added.worked = std::stoll(order.checkpoint);
    }
    runs_.emplace(order.run, added);
    events_.started(entry_.id, order.run);
    return worker_status::ok;
}

void simulated_worker::finish(run_id const& id, run_outcome outcome)
{
    runs_.erase(id);
    auto& highest_refused = highest_refused_[id.task];
    highest_refused = std::max(highest_refused, id.number);
    ended_.push_back({++last_end_number_, id, outcome, {}});
    events_.ended(entry_.id, id, outcome);
}

void simulated_worker::acknowledge(std::uint64_t number)
{
    std::erase_if(ended_, [&](reported_end const& end) {
        if (end.number <= number && end.outcome == run_outcome::done)
        {
            events_.acknowledged(end.run);
        }
        return end.number <= number;
    });
}

bool simulated_worker::is_done(run const& each, time_ms now) const
{
    if (!interference)
    {
        return each.done_at <= now;
    }
    return !each.spec.long_running
           && each.worked >= each.spec.estimate.count() * percent;
}

void simulated_worker::advance(time_ms now)
{
    auto const passed = now - std::exchange(advanced_to_, now);
    std::vector<std::pair<run_id, run_outcome>> finished;
    for (auto& [id, each] : runs_)
    {
        each.worked += passed.count() * each.pace_percent;
        if (is_done(each, now))
        {
            finished.emplace_back(id, each.outcome);
        }
        else if (lease_until_ < clock(now))
        {
            finished.emplace_back(id, run_outcome::lease_lapsed);
        }
    }
    for (auto const& [id, outcome] : finished)
    {
        finish(id, outcome);
    }
}

void simulated_worker::restart(time_ms now)
{
    for (auto const& [id, run] : runs_)
    {
        events_.ended(entry_.id, id, run_outcome::lease_lapsed);
    }
    runs_.clear();
    highest_refused_.clear();
    ended_.clear();
    last_end_number_ = 0;
    token_ = 0;
    lease_until_ = {};
    clock_start_ = now;
    entry_.process_started_at += time_ms(1);
}

} // namespace jaydrift::schedule::testing
