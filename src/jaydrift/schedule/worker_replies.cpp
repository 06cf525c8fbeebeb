#include <jaydrift/schedule/worker_replies.hpp>

#include <jaydrift/schedule/event.hpp>
#include <jaydrift/schedule/fencing_tokens.hpp>
#include <jaydrift/schedule/ownership.hpp>
#include <jaydrift/schedule/pacing.hpp>
#include <jaydrift/schedule/run_reports.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/start_flow.hpp>
#include <jaydrift/schedule/submissions.hpp>
#include <jaydrift/schedule/workers.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace jaydrift::schedule::worker_replies {

namespace {

using order_kind = pending_worker_call::order_kind;

/// Time until a stop order without success is repeated.
constexpr time_ms stop_pause{300};

/// Time between two hold orders after a reply with ends of runs, so that one
/// reply holds several of them.
constexpr time_ms hold_pause{40};

/// A worker with ends that are not acknowledged answers at once, so while they
/// are being stored it is asked again only after this.
constexpr time_ms unstored_pause{150};

/// A worker that does not answer is asked again after this, times the number of
/// orders without a reply up to the maximum.
constexpr time_ms silent_pause{200};
constexpr std::uint32_t max_silent_pauses = 5;

/// No task starts on a worker for this long after it refused a start for lack
/// of room, or because it is unavailable.
constexpr time_ms no_room_pause{200};
constexpr time_ms unavailable_pause{500};

/// A task whose start was refused waits this long before the next one.
constexpr time_ms refused_start_pause{20};

/// Describes an order for log lines: the process that it was meant for, its
/// token, and the end of the lease that it grants.
std::string describe(pending_worker_call const& sent)
{
    auto text = "meant for process "
                + std::to_string(sent.process_started_at.count()) + ", token "
                + std::to_string(sent.token);
    if (sent.lease_until)
    {
        text += ", lease until " + std::to_string(sent.lease_until->count());
    }
    return text;
}

/// Counts an order that had no reply. A hold order that was refused counts as
/// well: the worker does not tell what it runs, so its lease must not be
/// renewed for ever.
void note_silence(shard_context& ctx, worker_state& worker,
                  pending_worker_call const& sent, worker_status status)
{
    auto const refused_hold =
        sent.kind == order_kind::hold && status != worker_status::ok;
    if (status == worker_status::lost || status == worker_status::not_sent
        || refused_hold)
    {
        worker.process_confirmed = false;
        worker.unanswered_sent_at =
            std::max(worker.unanswered_sent_at, sent.sent_at);
        if (worker.unanswered_orders++ == 0)
        {
            ctx.log(log_level::warning, "worker",
                    worker.entry.id + " does not answer, last answer "
                        + std::to_string(
                            (ctx.now - worker.clock_received_at).count())
                        + " ms ago");
        }
        auto const pauses = static_cast<std::int64_t>(
            std::min(worker.unanswered_orders, max_silent_pauses));
        worker.next_hold_at =
            std::max(worker.next_hold_at,
                     ctx.now + time_ms(silent_pause.count() * pauses));
    }
}

/// Returns whether the worker has checked the order and answered it.
bool was_checked(worker_status status)
{
    switch (status)
    {
    case worker_status::ok:
    case worker_status::old_run:
    case worker_status::expired:
    case worker_status::no_room:
    case worker_status::no_advice_ticket:
        return true;
    default:
        return false;
    }
}

/// Returns whether a reply is from a later process than the one that the order
/// was meant for: its clock has started again. A reply from the same process is
/// never behind a reading from before the order, also if others overtake it.
/// Another program on the way may answer for a worker, but not as if the order
/// had been checked.
bool shows_later_process(pending_worker_call const& sent,
                         worker_replied const& reply)
{
    return was_checked(reply.status) && !reply.process_started_at && sent.clock
           && reply.clock && *reply.clock < *sent.clock;
}

/// Notes that an order which grants a lease has ended: a process that is not
/// fenced may have carried it out just now.
void note_late_lease(shard_context const& ctx, worker_state& worker,
                     pending_worker_call const& sent, worker_status status)
{
    if (!worker.fenced && sent.lease_until && status != worker_status::not_sent
        && status != worker_status::stale_token)
    {
        worker.runs_gone_at = std::max(
            worker.runs_gone_at, ctx.now + workers::longest_lease(ctx.state));
    }
}

/// Takes over the clock reading of a reply.
void note_answer(shard_context& ctx, worker_state& worker,
                 worker_replied const& reply)
{
    if (!reply.clock)
    {
        return;
    }
    if (worker.unanswered_orders > 0)
    {
        ctx.log(log_level::info, "worker", worker.entry.id + " answers again");
        ctx.shard.placement_due = true;
    }
    worker.unanswered_orders = 0;
    // Replies on different connections may arrive in any order.
    if (!worker.clock || *reply.clock >= *worker.clock)
    {
        worker.clock = reply.clock;
        worker.clock_received_at = ctx.now;
    }
}

/// Handles the reply to the hold order in flight, which was sent after the last
/// restart of the worker's process that is known.
void hold_replied(shard_context& ctx, worker_state& worker,
                  pending_worker_call const& sent, worker_replied const& reply)
{
    worker.hold_in_flight.reset();
    worker.next_hold_at = ctx.now;
    if (reply.status != worker_status::ok)
    {
        worker.next_hold_at = ctx.now + silent_pause;
        return;
    }
    if (reply.process_started_at
        && worker.entry.process_started_at == time_ms(0))
    {
        worker.entry.process_started_at = *reply.process_started_at;
    }
    if (reply.process_started_at
        && *reply.process_started_at != worker.entry.process_started_at)
    {
        // The order was sent to the process that the entry tells of, so a reply
        // from an earlier one shows that the entry is wrong. The process that
        // has replied is fenced by the next hold order, with its own token.
        workers::process_restarted(ctx, worker, *reply.process_started_at);
        return;
    }
    worker.process_confirmed = true;
    note_answer(ctx, worker, reply);
    if (!worker.fenced && sent.token == fencing_tokens::of(ctx, worker))
    {
        worker.fenced = true;
        // An earlier owner may have granted a lease of the longest length just
        // before.
        worker.lease_until = *worker.clock + ctx.state.options.max_lease;
        ctx.shard.placement_due = true;
    }
    run_reports::received(ctx, worker, reply, sent);
    worker.unaccounted = worker.unaccounted && worker.more_ends;
    if (!worker.pending_ends.empty() || reply.unreadable_ends > 0)
    {
        worker.next_hold_at = ctx.now + unstored_pause;
    }
    else if (!reply.ended.empty())
    {
        worker.next_hold_at = ctx.now + hold_pause;
    }
}

/// Removes a run that the worker has not started and will not start. Its task
/// waits again, for `pause` at least.
void withdraw(shard_context& ctx, worker_state& worker, run_id const& id,
              time_ms pause)
{
    workers::remove_run(worker, id);
    auto* const submission = submissions::find(ctx, id.task.submission);
    auto* const task =
        submission ? submissions::find_task(*submission, id.task) : nullptr;
    if (task && task->place && task->place->run == id.number)
    {
        task->not_before = ctx.now + pause;
        // Nothing has run, so the submission is idle for as long as before.
        auto const idle_since = submission->idle_since;
        submissions::requeue(ctx, *submission, id.task);
        submission->idle_since = idle_since;
    }
}

void start_replied(shard_context& ctx, worker_state& worker,
                   pending_worker_call const& sent, worker_replied const& reply)
{
    auto const& id = sent.run;
    auto const found = worker.runs.find(id);
    if (found == worker.runs.end())
    {
        return;
    }
    auto& run = found->second;
    switch (reply.status)
    {
    case worker_status::ok:
        if (run.phase == run_phase::starting)
        {
            run.phase = run_phase::running;
        }
        run.confirmed_at = ctx.now;
        run.progress_at = ctx.now;
        if (auto* const submission = submissions::find(ctx, id.task.submission))
        {
            submissions::note_start(ctx, *submission);
        }
        ctx.observe("start_ms", ctx.now - run.started_at);
        pacing::started(ctx, worker, id);
        return;
    case worker_status::lost:
        ctx.log_work(log_level::warning, "worker",
                     "no answer to the start of " + id.task.submission + " on "
                         + worker.entry.id + ", stopping run "
                         + std::to_string(id.number) + ", " + describe(sent));
        workers::stop(ctx, worker, id);
        return;
    case worker_status::no_room:
        worker.blocked_until = ctx.now + no_room_pause;
        worker.next_hold_at = ctx.now;
        ctx.count("starts_refused_total", "no_room");
        break;
    case worker_status::unavailable:
    case worker_status::wrong_instance:
        worker.blocked_until = ctx.now + unavailable_pause;
        ctx.count("starts_refused_total", "unavailable");
        break;
    default:
        ctx.count("starts_refused_total", "other");
        ctx.log_work(
            log_level::info, "worker",
            worker.entry.id + " refused the start of " + id.task.submission
                + ", run " + std::to_string(id.number) + ", status "
                + std::string(name_of(reply.status)) + ", " + describe(sent));
        break;
    }
    withdraw(ctx, worker, id, refused_start_pause);
}

void stop_replied(shard_context& ctx, worker_state& worker, run_id const& id,
                  worker_status status)
{
    auto const found = worker.runs.find(id);
    if (found == worker.runs.end())
    {
        return;
    }
    auto& run = found->second;
    run.stop_in_flight = false;
    if (status == worker_status::ok)
    {
        run.stop_confirmed_at = ctx.now;
    }
    else
    {
        run.next_stop_at = ctx.now + stop_pause;
    }
}

void pace_replied(shard_context const& ctx, worker_state& worker,
                  pending_worker_call const& sent, worker_status status)
{
    auto const found = worker.runs.find(sent.run);
    if (found == worker.runs.end())
    {
        return;
    }
    auto& run = found->second;
    run.pace_in_flight = false;
    if (status != worker_status::ok)
    {
        return;
    }
    if (sent.pace_percent > run.pace_percent)
    {
        // The time at the lower pace does not tell whether the run hangs.
        run.progress_at = ctx.now;
    }
    run.pace_percent = sent.pace_percent;
}

/// Steps down, since the worker has accepted the token of another owner.
void shut_out(shard_context& ctx, pending_worker_call const& sent)
{
    ctx.log(log_level::warning, "ownership",
            sent.worker + " has seen a higher fencing token, order "
                + describe(sent));
    ownership::step_down(ctx);
}

} // namespace

void received(context& ctx, worker_replied const& reply)
{
    auto const found = ctx.state.worker_calls.find(reply.call);
    if (found == ctx.state.worker_calls.end())
    {
        return;
    }
    auto const sent = std::move(found->second);
    ctx.state.worker_calls.erase(found);
    start_flow::ended(ctx, sent, reply);
    shard_context shard_ctx(ctx, ctx.state.shards[sent.shard]);
    auto const found_worker = shard_ctx.shard.workers.find(sent.worker);
    if (found_worker == shard_ctx.shard.workers.end())
    {
        return;
    }
    auto& worker = found_worker->second;
    if (sent.lease_until)
    {
        worker.lease_order_at = shard_ctx.now;
    }
    if (reply.status == worker_status::stale_token)
    {
        if (sent.token < fencing_tokens::of(shard_ctx, worker))
        {
            shard_ctx.count("orders_fenced_total", "");
        }
        else
        {
            shut_out(shard_ctx, sent);
            return;
        }
    }
    auto const for_earlier_process = reply.call < worker.first_call;
    note_late_lease(shard_ctx, worker, sent, reply.status);
    if (!for_earlier_process)
    {
        if (shows_later_process(sent, reply))
        {
            workers::process_restarted(shard_ctx, worker, time_ms(0));
        }
        note_silence(shard_ctx, worker, sent, reply.status);
        if (worker.process_confirmed && sent.kind != order_kind::hold)
        {
            note_answer(shard_ctx, worker, reply);
        }
    }
    // A stop or a pace that an earlier process has confirmed is not in force in
    // the present one.
    auto const status =
        for_earlier_process ? worker_status::lost : reply.status;
    switch (sent.kind)
    {
    case order_kind::hold:
        if (worker.hold_in_flight == reply.call
            || (!worker.fenced && !for_earlier_process
                && reply.status == worker_status::ok))
        {
            hold_replied(shard_ctx, worker, sent, reply);
        }
        return;
    case order_kind::start:
        return start_replied(shard_ctx, worker, sent, reply);
    case order_kind::stop:
        return stop_replied(shard_ctx, worker, sent.run, status);
    case order_kind::pace:
        return pace_replied(shard_ctx, worker, sent, status);
    }
}

} // namespace jaydrift::schedule::worker_replies
