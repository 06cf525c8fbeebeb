#include <jaydrift/schedule/workers.hpp>

#include <jaydrift/schedule/fencing_tokens.hpp>
#include <jaydrift/schedule/record_log.hpp>
#include <jaydrift/schedule/run_reports.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/start_flow.hpp>
#include <jaydrift/schedule/submissions.hpp>
#include <jaydrift/schedule/view_age.hpp>

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace jaydrift::schedule::workers {

namespace {

using order_kind = pending_worker_call::order_kind;

/// Length of a lease if the workers accept it. It outlasts a restart of all
/// daemons, and the tasks of a silent worker still start elsewhere soon.
constexpr time_ms preferred_lease{5000};

/// Slowest speed of a worker's clock relative to the daemon's.
constexpr double slowest_clock = 0.98;

/// A lease is taken to have expired only this long after its end.
constexpr time_ms expiry_margin{100};

/// Longest time in which a worker answers a hold order.
constexpr time_ms hold_wait{1000};

/// The same for a worker with serving and opportunistic tasks, whose reports
/// drive the pace of the latter.
constexpr time_ms paced_hold_wait{450};

/// A fencing order to a new process is repeated after this, beside the earlier
/// one, since the process may take orders for the one before until it answers.
constexpr time_ms fencing_pause{200};

/// Time limits of orders; that of a hold order counts from the end of its wait.
constexpr time_ms hold_margin{800};
constexpr time_ms start_order_limit{1000};
constexpr time_ms stop_order_limit{800};
constexpr time_ms pace_order_limit{800};

/// A worker without an entry is forgotten after this. Entries that expired in a
/// store outage are back within two seconds of its end.
constexpr time_ms relisting_time{3000};

/// Returns the end of a new lease on the worker's clock and notes it, since the
/// worker may hold it from now on.
/// @pre The worker's clock is known.
time_ms grant_lease(shard_context const& ctx, worker_state& worker)
{
    auto const clock = *worker.clock + (ctx.now - worker.clock_received_at);
    auto const until = clock + lease_length(ctx.state);
    worker.lease_until = std::max(worker.lease_until, until);
    worker.lease_granted = true;
    worker.lease_order_at = ctx.now;
    return until;
}

/// Returns the end of the lease that an order grants, if it grants one.
template<class Order>
std::optional<time_ms> granted_lease(Order const& order)
{
    if constexpr (requires { order.lease_until; })
    {
        return order.lease_until;
    }
    else
    {
        return std::nullopt;
    }
}

/// Sends an order and returns its number.
template<class Order>
std::uint64_t send(shard_context& ctx, worker_state const& worker,
                   order_kind kind, run_id run, std::uint32_t percent,
                   Order order, time_ms limit, std::int64_t paced_bytes = 0)
{
    auto const number = ctx.state.next_worker_call++;
    auto const token = fencing_tokens::of(ctx, worker);
    auto& sent = ctx.state.worker_calls[number];
    sent.kind = kind;
    sent.shard = ctx.shard.number;
    sent.worker = worker.entry.id;
    sent.run = std::move(run);
    sent.pace_percent = percent;
    sent.sent_at = ctx.now;
    sent.token = token;
    sent.lease_until = granted_lease(order);
    sent.clock = worker.clock;
    sent.process_started_at = worker.entry.process_started_at;
    sent.bytes = paced_bytes;
    start_flow::sent(ctx, paced_bytes);
    ctx.emit(worker_call{number, worker.entry.id, worker.entry.address, token,
                         std::move(order), limit});
    return number;
}

/// Returns whether the worker has both serving and opportunistic runs.
bool has_paced_neighbours(worker_state const& worker)
{
    auto serving = false;
    auto opportunistic = false;
    for (auto const& [id, run] : worker.runs)
    {
        serving = serving || run.latency_target > time_ms(0);
        opportunistic = opportunistic || run.opportunistic;
    }
    return serving && opportunistic;
}

void send_hold(shard_context& ctx, worker_state& worker)
{
    hold_order order;
    // After a lost order another process of the worker may answer, whose ends
    // are numbered from 1 again.
    order.acknowledged_end =
        worker.process_confirmed ? worker.acknowledged_end : 0;
    if (worker.fenced)
    {
        // A lease that was sent may hold even if no reply came. A silent
        // worker is sent none, or the time at which its lease expires would
        // move on for ever. A successor that was asked to take over waits for
        // the leases that hold when it does.
        if (worker.unanswered_orders == 0
            && ctx.shard.ownership.role != owner_role::yielding)
        {
            order.lease_until = grant_lease(ctx, worker);
        }
        order.wait = has_paced_neighbours(worker) ? paced_hold_wait : hold_wait;
    }
    worker.hold_sent_at = ctx.now;
    worker.hold_in_flight = send(ctx, worker, order_kind::hold, {}, 0, order,
                                 order.wait + hold_margin);
}

void send_stop(shard_context& ctx, worker_state& worker, run_id const& id,
               run_state& run)
{
    if (worker.entry.address.empty() || worker.token_due)
    {
        return;
    }
    run.stop_in_flight = true;
    send(ctx, worker, order_kind::stop, id, 0, stop_order{id},
         stop_order_limit);
}

/// Adds the demand of a run to the sums of its worker, or takes it away if
/// `sign` is -1.
void add_to_sums(worker_state& worker, run_state const& run, std::int64_t sign)
{
    worker.serving_images_valid = false;
    auto counted = run.demand;
    if (run.opportunistic)
    {
        worker.opportunistic_millicores +=
            sign * (counted.millicores * run.pace_limit / full_pace);
        counted.millicores = 0;
    }
    if (run.long_running)
    {
        worker.long_running_millicores += sign * counted.millicores;
    }
    if (sign > 0)
    {
        worker.used += counted;
    }
    else
    {
        worker.used -= counted;
    }
}

/// Describes the lease that the owner takes the worker to hold, for log lines.
std::string describe_lease(shard_context const& ctx, worker_state const& worker)
{
    auto text = "process "
                + std::to_string(worker.entry.process_started_at.count())
                + ", token " + std::to_string(fencing_tokens::of(ctx, worker))
                + ", lease until " + std::to_string(worker.lease_until.count());
    if (worker.clock)
    {
        text += ", clock " + std::to_string(worker.clock->count()) + " "
                + std::to_string((ctx.now - worker.clock_received_at).count())
                + " ms ago";
    }
    return text;
}

/// Drops the runs of a worker that has not answered this owner, once the leases
/// of the earlier owner have expired. A missing entry does not prove that they
/// are gone: a worker that is cut off from the store loses its entry and works
/// on.
void check_unaccounted(shard_context& ctx, worker_state& worker)
{
    if (ctx.now >= worker.runs_gone_at && is_silent(ctx, worker))
    {
        if (worker.unaccounted || !worker.runs.empty())
        {
            ctx.log(log_level::warning, "worker",
                    worker.entry.id
                        + " did not answer before all leases expired, "
                        + std::to_string(worker.runs.size())
                        + " runs are gone; " + describe_lease(ctx, worker));
        }
        worker.unaccounted = false;
        run_reports::all_lost(ctx, worker);
    }
}

/// Drops the runs of a worker that does not answer and whose lease has expired
/// on its clock, even if that is slow. A run that it has not listed may be in a
/// later process, which holds the longest lease by an order that was meant for
/// this one.
void check_lease_expiry(shard_context& ctx, worker_state& worker)
{
    if (!worker.fenced)
    {
        check_unaccounted(ctx, worker);
        return;
    }
    auto const passed = static_cast<std::int64_t>(
        static_cast<double>((ctx.now - worker.clock_received_at).count())
        * slowest_clock);
    if ((!worker.runs.empty() || worker.unaccounted) && is_silent(ctx, worker)
        && *worker.clock + time_ms(passed) > worker.lease_until + expiry_margin)
    {
        auto const before = worker.runs.size();
        if (ctx.now >= worker.lease_order_at + longest_lease(ctx.state))
        {
            run_reports::all_lost(ctx, worker);
        }
        else
        {
            run_reports::listed_lost(ctx, worker);
        }
        if (worker.unaccounted || worker.runs.size() != before)
        {
            ctx.log(log_level::warning, "worker",
                    worker.entry.id + ": lease expired, "
                        + std::to_string(before - worker.runs.size())
                        + " runs are gone, "
                        + std::to_string(worker.runs.size())
                        + " may be in a later process; "
                        + describe_lease(ctx, worker));
        }
        worker.unaccounted = false;
    }
}

void repeat_stops(shard_context& ctx, worker_state& worker)
{
    for (auto& [id, run] : worker.runs)
    {
        if (run.phase == run_phase::stopping && !run.stop_in_flight
            && !run.stop_confirmed_at && ctx.now >= run.next_stop_at)
        {
            send_stop(ctx, worker, id, run);
        }
    }
}

/// Returns whether a hold order may be sent: none is in flight, or the one in
/// flight is to fence a new process and has had no reply for a while.
bool may_hold(shard_context const& ctx, worker_state const& worker)
{
    return !worker.hold_in_flight
           || (!worker.fenced && fencing_tokens::is_raised(ctx, worker)
               && ctx.now - worker.hold_sent_at >= fencing_pause);
}

/// Returns whether the state of a worker can be removed: it has had no entry
/// for `relisting_time`, no hold order is in flight, and neither this owner nor
/// an earlier one may have runs there.
bool may_be_forgotten(shard_context const& ctx, worker_state const& worker)
{
    return !worker.listed && worker.runs.empty() && !worker.hold_in_flight
           && !worker.unaccounted
           && ctx.now - worker.unlisted_at >= relisting_time;
}

/// Orders the long-running tasks of a draining worker to stop, so that they
/// move before the worker ends them. Others are left to end there.
void move_long_running_tasks(shard_context& ctx, worker_state& worker)
{
    if (!worker.entry.draining)
    {
        worker.drain_noted = false;
        return;
    }
    std::size_t moving = 0;
    for (auto& [id, run] : worker.runs)
    {
        if (run.long_running && run.phase != run_phase::stopping)
        {
            stop(ctx, worker, id);
            ++moving;
        }
    }
    if (!worker.drain_noted)
    {
        worker.drain_noted = true;
        ctx.log(log_level::info, "worker",
                worker.entry.id + " is draining, moving "
                    + std::to_string(moving) + " long-running tasks");
    }
}

} // namespace

void entry_changed(shard_context& ctx, worker_entry const& entry)
{
    auto const [found, added] = ctx.shard.workers.try_emplace(entry.id);
    auto& worker = found->second;
    if (added)
    {
        worker.entry = entry;
        worker.first_call = ctx.state.next_worker_call;
        fencing_tokens::begin(ctx, worker);
        record_log::fleet_changed(ctx);
        if (ctx.shard.ownership.role == owner_role::owner)
        {
            // A new owner logs the number of workers instead.
            ctx.log(log_level::info, "worker",
                    entry.id + " listed in the store"
                        + (entry.draining ? ", draining" : ""));
            worker.drain_noted = entry.draining;
        }
    }
    if (entry.process_started_at < worker.entry.process_started_at)
    {
        return;
    }
    if (!added && entry.process_started_at > worker.entry.process_started_at
        && worker.entry.process_started_at > time_ms(0))
    {
        process_restarted(ctx, worker, entry.process_started_at);
    }
    if (!worker.listed)
    {
        ctx.log(log_level::info, "worker",
                entry.id + " listed in the store again");
    }
    if (worker.entry.address != entry.address)
    {
        worker.in_fleet_record = false;
        record_log::fleet_changed(ctx);
    }
    auto const drained = std::exchange(worker.entry, entry).draining;
    worker.listed = true;
    if (drained && !entry.draining)
    {
        ctx.log(log_level::info, "worker", entry.id + " is no longer draining");
    }
    if (ctx.shard.ownership.role == owner_role::owner)
    {
        move_long_running_tasks(ctx, worker);
    }
    ctx.shard.placement_due = true;
}

void process_restarted(shard_context& ctx, worker_state& worker,
                       time_ms process_started_at)
{
    ctx.log(log_level::info, "worker",
            worker.entry.id + " started again, "
                + std::to_string(worker.runs.size())
                + " runs may be gone, the new process is "
                + (process_started_at > time_ms(0)
                       ? std::to_string(process_started_at.count())
                       : "unknown")
                + "; the last one: " + describe_lease(ctx, worker));
    for (auto& [id, run] : worker.runs)
    {
        run.listed = false;
        run.stop_confirmed_at.reset();
        run.next_stop_at = ctx.now;
    }
    fencing_tokens::raise(ctx, worker);
    worker.first_call = ctx.state.next_worker_call;
    worker.process_confirmed = false;
    worker.runs_gone_at = ctx.now + longest_lease(ctx.state);
    worker.entry.process_started_at = process_started_at;
    worker.clock.reset();
    worker.fenced = false;
    worker.more_ends = false;
    worker.last_handled_end = 0;
    worker.acknowledged_end = 0;
    worker.pending_ends.clear();
    worker.lease_until = {};
    worker.failed_submissions_in_a_row = 0;
    worker.last_quarantine = {};
    worker.blocked_until = ctx.now;
    worker.hold_in_flight.reset();
    worker.next_hold_at = ctx.now;
}

void entry_removed(shard_context& ctx, std::string_view id)
{
    auto const found = ctx.shard.workers.find(id);
    if (found != ctx.shard.workers.end() && found->second.listed)
    {
        found->second.listed = false;
        found->second.unlisted_at = ctx.now;
        ctx.log(log_level::info, "worker",
                std::string(id) + " no longer listed in the store, "
                    + std::to_string(found->second.runs.size())
                    + " runs there");
    }
}

void left_shard(shard_context& ctx, std::string_view id)
{
    auto const found = ctx.shard.workers.find(id);
    if (found == ctx.shard.workers.end())
    {
        return;
    }
    start_flow::forget(ctx, id);
    std::erase_if(ctx.state.worker_calls, [&](auto const& each) {
        return each.second.shard == ctx.shard.number
               && each.second.worker == id;
    });
    auto& worker = found->second;
    fencing_tokens::forget(ctx, worker);
    if (worker.runs.empty())
    {
        ctx.shard.workers.erase(found);
    }
    else
    {
        worker.entry.address.clear();
        worker.listed = false;
        worker.unlisted_at = ctx.now;
        worker.fenced = false;
        worker.hold_in_flight.reset();
        worker.runs_gone_at = ctx.now + longest_lease(ctx.state);
    }
    record_log::fleet_changed(ctx);
}

run_state reservation(submission_state const& submission, std::uint32_t step)
{
    auto const& spec = submission.work.steps[step];
    run_state run;
    run.demand = spec.demand;
    run.opportunistic = spec.opportunistic;
    run.long_running = spec.long_running;
    run.image = spec.image;
    run.latency_target = spec.latency_target;
    run.estimate = spec.estimate;
    return run;
}

run_state& add_run(worker_state& worker, run_id const& run, run_state reserved)
{
    auto const [found, added] = worker.runs.emplace(run, std::move(reserved));
    if (added)
    {
        add_to_sums(worker, found->second, 1);
    }
    return found->second;
}

void remove_run(worker_state& worker, run_id const& run)
{
    auto const found = worker.runs.find(run);
    if (found != worker.runs.end())
    {
        add_to_sums(worker, found->second, -1);
        worker.runs.erase(found);
    }
}

void raise_pace_limit(worker_state& worker, run_id const& run,
                      std::uint32_t percent)
{
    auto& known = worker.runs.at(run);
    add_to_sums(worker, known, -1);
    known.pace_limit = percent;
    add_to_sums(worker, known, 1);
}

void start(shard_context& ctx, worker_state& worker, run_id const& run)
{
    auto const& submission = *submissions::find(ctx, run.task.submission);
    auto const& task = submission.occurrences[run.task.occurrence]
                           .steps[run.task.step]
                           .tasks[run.task.index];
    start_order order{run, submission.work.payload, grant_lease(ctx, worker),
                      task.checkpoint};
    auto const bytes = start_flow::size_of(order);
    worker.runs.at(run).token = fencing_tokens::of(ctx, worker);
    send(ctx, worker, order_kind::start, run, 0, std::move(order),
         start_order_limit, bytes);
    view_age::note_start(ctx);
}

void stop(shard_context& ctx, worker_state& worker, run_id const& run)
{
    auto const found = worker.runs.find(run);
    if (found == worker.runs.end()
        || found->second.phase == run_phase::stopping)
    {
        return;
    }
    found->second.phase = run_phase::stopping;
    send_stop(ctx, worker, run, found->second);
}

void pace(shard_context& ctx, worker_state& worker, run_id const& run,
          std::uint32_t percent)
{
    auto& known = worker.runs.at(run);
    known.pace_in_flight = true;
    send(ctx, worker, order_kind::pace, run, percent, pace_order{run, percent},
         pace_order_limit);
}

void tick(shard_context& ctx)
{
    auto const role = ctx.shard.ownership.role;
    if (!holds_shard(role) || role == owner_role::suspended
        || (role == owner_role::recovering
            && !ctx.shard.ownership.fencing_since))
    {
        return;
    }
    for (auto& [id, worker] : ctx.shard.workers)
    {
        check_lease_expiry(ctx, worker);
        fencing_tokens::tick(ctx, worker);
        if (may_hold(ctx, worker) && !worker.token_due
            && !worker.entry.address.empty()
            && (worker.listed || !worker.runs.empty() || worker.unaccounted)
            && ctx.now >= worker.next_hold_at)
        {
            send_hold(ctx, worker);
        }
        if (role == owner_role::owner)
        {
            move_long_running_tasks(ctx, worker);
            repeat_stops(ctx, worker);
        }
    }
    if (role == owner_role::owner
        && std::erase_if(ctx.shard.workers, [&ctx](auto const& each) {
               auto const forgotten = may_be_forgotten(ctx, each.second);
               if (forgotten)
               {
                   fencing_tokens::forget(ctx, each.second);
               }
               return forgotten;
           }) > 0)
    {
        record_log::fleet_changed(ctx);
    }
}

time_ms lease_length(daemon_state const& state)
{
    return std::min(preferred_lease, state.options.max_lease);
}

time_ms longest_lease(daemon_state const& state)
{
    return time_ms(static_cast<std::int64_t>(
        static_cast<double>(state.options.max_lease.count()) / slowest_clock));
}

bool is_silent(shard_context const& ctx, worker_state const& worker)
{
    auto const cannot_be_asked =
        worker.entry.address.empty() || worker.token_due;
    return cannot_be_asked
           || (worker.unanswered_orders > 0
               && worker.unanswered_sent_at
                      >= std::max(worker.clock_received_at,
                                  ctx.shard.ownership.role_since));
}

bool usable(shard_context const& ctx, worker_state const& worker)
{
    return worker.listed && worker.fenced && worker.in_fleet_record
           && !worker.leaving && !worker.entry.draining
           && worker.unanswered_orders == 0 && ctx.now >= worker.blocked_until
           && !ctx.state.closed_zones.contains(worker.entry.zone);
}

resources room_without_urgent(worker_state const& worker)
{
    auto kept = worker.used;
    kept.millicores = worker.long_running_millicores;
    for (auto const& [id, run] : worker.runs)
    {
        if (run.phase == run_phase::stopping)
        {
            auto leaving = run.demand;
            leaving.millicores = run.long_running ? leaving.millicores : 0;
            kept -= leaving;
        }
    }
    return worker.entry.capacity - kept;
}

bool matches_step(worker_entry const& worker, std::string_view service,
                  step_spec const& step)
{
    return worker.service == service
           && (step.required_label.empty()
               || has_label(worker, step.required_label));
}

bool has_label(worker_entry const& worker, std::string_view label)
{
    return std::find(worker.labels.begin(), worker.labels.end(), label)
           != worker.labels.end();
}

} // namespace jaydrift::schedule::workers
