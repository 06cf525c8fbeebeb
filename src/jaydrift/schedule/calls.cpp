#include <jaydrift/schedule/calls.hpp>

#include <jaydrift/core/printable.hpp>
#include <jaydrift/schedule/cancellations.hpp>
#include <jaydrift/schedule/event.hpp>
#include <jaydrift/schedule/layout.hpp>
#include <jaydrift/schedule/queue_selection.hpp>
#include <jaydrift/schedule/record_log.hpp>
#include <jaydrift/schedule/relocation.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/submissions.hpp>
#include <jaydrift/schedule/view_age.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jaydrift::schedule::calls {

namespace {

/// A call that cannot have been carried out waits this long for an owner before
/// it is refused.
constexpr time_ms owner_wait{700};

/// Time limit of a forwarded call. A call that may have been carried out is
/// tried again for as long.
constexpr time_ms forward_limit{1500};

constexpr time_ms retry_pause{50};

/// For calls that do not say how long their caller waits.
constexpr time_ms default_time_limit{3000};

/// Calls are answered this long before their caller stops waiting.
constexpr time_ms answer_margin{150};

/// New submissions are refused once the record log has waited this long for a
/// reply of the store.
constexpr time_ms max_log_wait{600};

/// Bounds the memory of the owner; each submission takes a few KB.
constexpr std::size_t max_submissions = 20000;

/// What arrived while the process stood still has been read this long after it
/// goes on.
constexpr time_ms backlog_time{200};

/// Longest part of a path that is logged. The ID stands at its end.
constexpr std::size_t max_logged_path = 400;

/// Returns the name of a result in logs and metrics.
std::string_view name_of(answer::code result)
{
    static constexpr std::string_view names[] = {
        "ok",          "state",     "count",   "no_queue", "gone",
        "unavailable", "not_owner", "unknown", "moved"};
    return names[static_cast<std::size_t>(result)];
}

/// Lists the shards of the call and their owners, for the log.
std::string owners_of(context const& ctx, open_call const& call)
{
    std::string result;
    for (auto const& part : call.parts)
    {
        auto const& ownership = ctx.state.shards[part.shard].ownership;
        result += ", shard " + std::to_string(part.shard) + " of "
                  + ownership.record.node + " at revision "
                  + std::to_string(ownership.revision);
    }
    return result;
}

/// Answers a call and forgets it; ignored if it was answered before.
void finish(context& ctx, std::uint64_t call, answer const& reply)
{
    auto const found = ctx.state.calls.find(call);
    if (found == ctx.state.calls.end())
    {
        return;
    }
    auto const age = ctx.now - found->second.arrived_at;
    ctx.observe("call_ms", age);
    ctx.count("calls_answered_total", name_of(reply.result));
    view_age::note_answer(ctx, name_of(reply.result));
    if (reply.result == answer::code::unavailable
        || reply.result == answer::code::unknown
        || reply.result == answer::code::no_queue)
    {
        ctx.log_work(log_level::info, "call",
                     printable(found->second.request.path, max_logged_path)
                         + " answered " + std::string(name_of(reply.result))
                         + " after " + std::to_string(age.count()) + " ms by "
                         + view_age::configuration_text(ctx)
                         + owners_of(ctx, found->second));
    }
    ctx.emit(answer_call{call, reply});
    ctx.state.calls.erase(found);
}

void finish(context& ctx, std::uint64_t call, answer::code result)
{
    finish(ctx, call, answer{result, {}, 0, 0});
}

/// Returns the part for a shard; null if the call has none.
call_part* part_of(open_call& call, std::uint32_t shard)
{
    auto const found = std::find_if(
        call.parts.begin(), call.parts.end(),
        [shard](call_part const& each) { return each.shard == shard; });
    return found == call.parts.end() ? nullptr : &*found;
}

/// Handles the answer of one shard. Counts of several shards are added up, once
/// all have answered.
void finish_part(context& ctx, std::uint64_t number, std::uint32_t shard,
                 answer const& reply)
{
    auto& call = ctx.state.calls.at(number);
    if (call.parts.size() == 1 || reply.result != answer::code::count)
    {
        finish(ctx, number, reply);
        return;
    }
    part_of(call, shard)->reply = reply;
    answer total{answer::code::count, {}, 0, 0};
    for (auto const& part : call.parts)
    {
        if (!part.reply)
        {
            return;
        }
        total.pending += part.reply->pending;
    }
    finish(ctx, number, total);
}

/// Counts the stored submissions of a queue that have not started. Those of
/// which the shard only runs tasks count in their own shard.
std::uint64_t pending_count(shard_context& ctx, queue const& target)
{
    std::uint64_t count = 0;
    for (auto const& id : ctx.shard.active)
    {
        auto const& submission = *submissions::find(ctx, id);
        count += submission.queue == target.name && submission.record_stored
                         && !submission.home && !submission.started
                     ? 1
                     : 0;
    }
    return count;
}

/// Leaves the part of a call for this shard waiting until the record log has
/// stored its change.
void wait_for_log(shard_context& ctx, std::uint64_t call)
{
    part_of(ctx.state.calls.at(call), ctx.shard.number)->waits_for_log = true;
}

/// The same; the call is answered when this version of the submission is
/// stored.
void wait_for_log(shard_context& ctx, std::uint64_t call,
                  submission_state& submission)
{
    wait_for_log(ctx, call);
    submission.waiters.emplace_back(call, submission.version);
}

/// Returns whether the shard can take no new submissions, because the record
/// log has waited too long for the store or there are too many submissions.
bool overloaded(shard_context const& ctx)
{
    auto const& log = ctx.shard.record_log;
    return (log.in_flight && ctx.now - log.first_sent >= max_log_wait)
           || ctx.shard.submissions.size() >= max_submissions;
}

/// Passes a call on if the submission was left to its second shard, once that
/// is stored. Returns whether it was.
bool follow_relocation(shard_context& ctx, std::uint64_t call,
                       std::string const& id)
{
    auto const moved = ctx.shard.relocations.find(id);
    if (moved == ctx.shard.relocations.end())
    {
        return false;
    }
    if (moved->second.stored)
    {
        redirect(ctx, call, moved->second.record.second_shard);
    }
    else
    {
        wait_for_log(ctx, call);
        moved->second.waiters.push_back(call);
    }
    return true;
}

void submit(shard_context& ctx, std::uint64_t call,
            selected_queue const& selected, std::string const& id)
{
    if (auto* const known = submissions::find_own(ctx, id))
    {
        if (known->record_stored)
        {
            finish(ctx, call, answer::code::ok);
        }
        else
        {
            wait_for_log(ctx, call, *known);
        }
        return;
    }
    if (follow_relocation(ctx, call, id))
    {
        return;
    }
    if (auto const* const guest = submissions::find(ctx, id))
    {
        redirect(ctx, call, *guest->home);
        return;
    }
    if (cancellations::find(ctx, id))
    {
        ctx.count("submissions_refused_total", "cancelled");
        ctx.log_work(log_level::info, "call",
                     id + " refused, it was cancelled before it arrived");
        finish(ctx, call, answer::code::unavailable);
        return;
    }
    if (overloaded(ctx) || ctx.state.stopping_since)
    {
        // The label and the text are the same for each reason; the duration is
        // meaningful only if the record log waits for the store.
        ctx.count("submissions_refused_total", "overloaded");
        ctx.log_work(
            log_level::info, "call",
            id + " refused, the store has not answered for "
                + std::to_string(
                    (ctx.now - ctx.shard.record_log.first_sent).count())
                + " ms");
        finish(ctx, call, answer::code::unavailable);
        return;
    }
    auto const& work = *ctx.state.calls.at(call).request.work;
    if (relocation::should_relocate(ctx, id, selected.target.service, work))
    {
        wait_for_log(ctx, call);
        relocation::relocate(ctx, call, id, work);
        return;
    }
    auto& submission = submissions::accept(ctx, id, selected, work);
    relocation::accepted(ctx, work);
    record_log::changed_with_waiting_caller(ctx, submission);
    wait_for_log(ctx, call, submission);
    ctx.log_work(log_level::info, "call",
                 id + " arrived in queue " + selected.target.name + " by "
                     + queue_selection::source_text(ctx, selected) + ", "
                     + std::to_string(ctx.shard.active.size()) + " active");
}

/// The shard does not know the submission. It may belong to its second shard,
/// so the call goes on there if this is the first one.
void try_second_shard(shard_context& ctx, std::uint64_t call,
                      std::string const& id)
{
    auto const second_shard =
        layout::second_shard_of(id, ctx.state.shards.size());
    if (second_shard != ctx.shard.number
        && layout::first_shard_of(id, ctx.state.shards.size())
               == ctx.shard.number)
    {
        redirect(ctx, call, second_shard);
        return;
    }
    finish(ctx, call, answer::code::no_submission);
}

void show(shard_context& ctx, std::uint64_t call, std::string const& id)
{
    auto const* const submission = submissions::find_own(ctx, id);
    if (!submission || !submission->record_stored)
    {
        try_second_shard(ctx, call, id);
        return;
    }
    auto const phase =
        ended(submission->phase) && !ended(submission->stored_phase)
            ? submission_phase::running
        : ended(submission->phase) ? submission->stored_phase
        : submission->started      ? submission_phase::running
                                   : submission_phase::queued;
    finish(ctx, call, answer{answer::code::state, phase, 0, 0});
}

/// Cancels a submission that the shard does not know. It may still arrive, so
/// the cancel is stored before it is acknowledged.
void cancel_unknown(shard_context& ctx, std::uint64_t call,
                    std::string const& id)
{
    auto* const cancelled = cancellations::find(ctx, id);
    if (cancelled && cancelled->stored)
    {
        try_second_shard(ctx, call, id);
    }
    else if (cancelled)
    {
        wait_for_log(ctx, call);
        cancelled->waiters.push_back(call);
    }
    else if (cancellations::add(ctx, call, id))
    {
        wait_for_log(ctx, call);
    }
    else
    {
        finish(ctx, call, answer::code::unavailable);
    }
}

void cancel(shard_context& ctx, std::uint64_t call, std::string const& id)
{
    auto* const submission = submissions::find_own(ctx, id);
    if (!submission)
    {
        if (!follow_relocation(ctx, call, id))
        {
            cancel_unknown(ctx, call, id);
        }
        return;
    }
    if (!ended(submission->phase))
    {
        submissions::cancel(ctx, *submission);
    }
    if (submission->stored_version >= submission->version)
    {
        finish(ctx, call, answer::code::ok);
        return;
    }
    wait_for_log(ctx, call, *submission);
}

/// Carries out the part of a call that concerns this shard.
void serve(shard_context& ctx, std::uint64_t call)
{
    auto const& request = ctx.state.calls.at(call).request;
    auto const& selected = *ctx.state.calls.at(call).selected;
    std::string const id(queue_selection::id_of(request, selected.target));
    if (id.empty())
    {
        finish_part(ctx, call, ctx.shard.number,
                    answer{answer::code::count,
                           {},
                           pending_count(ctx, selected.target),
                           0});
        return;
    }
    switch (request.verb)
    {
    case call_verb::submit:
        return submit(ctx, call, selected, id);
    case call_verb::show:
        return show(ctx, call, id);
    case call_verb::cancel:
        return cancel(ctx, call, id);
    }
}

/// Returns the time by which the call must be answered.
time_ms answer_due(open_call const& call)
{
    return call.arrived_at + call.request.time_limit - answer_margin;
}

/// Answers a call for which the newest known configuration has no queue. A
/// later version may have it, so the call is refused for good only if the view
/// of the configuration is up to date, and the version by which another daemon
/// has forwarded the call is known.
void refuse_without_queue(context& ctx, std::uint64_t number,
                          bool maybe_carried_out)
{
    auto const& request = ctx.state.calls.at(number).request;
    auto const may_exist =
        view_age::is_stale(ctx.state.store.operators, ctx.now)
        || (request.forwarded_to && !request.selected);
    finish(ctx, number,
           maybe_carried_out && request.work ? answer::code::unknown
           : may_exist                       ? answer::code::unavailable
                                             : answer::code::no_queue);
}

/// Makes sure that the queue of a call is that by the newest known
/// configuration: this daemon may have got a newer one since the last attempt.
/// Answers the call and returns false if it has none any more.
bool update_queue(context& ctx, std::uint64_t number, call_part const& part)
{
    auto& call = ctx.state.calls.at(number);
    auto selected = queue_selection::select(ctx, call.request, call.selected);
    if (!selected
        || queue_selection::id_of(call.request, selected->target)
               != queue_selection::id_of(call.request, call.selected->target))
    {
        refuse_without_queue(ctx, number, part.maybe_carried_out);
        return false;
    }
    call.selected = std::move(selected);
    return true;
}

/// Serves a part of a call here, forwards it, or leaves it waiting for an
/// owner.
void proceed(context& ctx, std::uint64_t number, std::uint32_t shard)
{
    auto& call = ctx.state.calls.at(number);
    auto& part = *part_of(call, shard);
    if (!update_queue(ctx, number, part))
    {
        return;
    }
    auto const& ownership = ctx.state.shards[shard].ownership;
    if (ownership.role == owner_role::owner)
    {
        shard_context shard_ctx(ctx, ctx.state.shards[shard]);
        serve(shard_ctx, number);
        return;
    }
    if (call.request.forwarded_to && ownership.role == owner_role::follower)
    {
        finish(ctx, number, answer::code::not_owner);
        return;
    }
    if (ownership.role == owner_role::follower && ownership.revision != 0
        && !ownership.queried_at
        && ownership.record.node != ctx.state.options.node)
    {
        part.waits_for_peer = true;
        auto const left = answer_due(call) - ctx.now;
        ctx.emit(forward_call{number, shard, ownership.record.address,
                              std::min(forward_limit, left), *call.selected});
        return;
    }
    part.retry_at = ctx.now + retry_pause;
}

/// Answers a call that could not be carried out in time. A submission that may
/// have been accepted is answered as unknown. Other calls are answered as
/// unavailable, also a cancel that may have been carried out.
void give_up(context& ctx, std::uint64_t number, open_call const& call,
             call_part const& part)
{
    auto const submits = call.request.verb == call_verb::submit;
    auto const result = part.maybe_carried_out && submits
                            ? answer::code::unknown
                            : answer::code::unavailable;
    finish(ctx, number, result);
}

/// Repeats the attempt at a part of a call if that is due, or answers the call
/// if its time is over.
void retry_or_give_up(context& ctx, std::uint64_t number, std::uint32_t shard)
{
    auto const found = ctx.state.calls.find(number);
    if (found == ctx.state.calls.end())
    {
        return;
    }
    auto const& call = found->second;
    auto const& part = *part_of(found->second, shard);
    if (part.reply)
    {
        return;
    }
    if (part.waits_for_log || part.waits_for_peer)
    {
        if (ctx.now >= answer_due(call))
        {
            finish(ctx, number, answer::code::unknown);
        }
        return;
    }
    auto const wait_limit = part.maybe_carried_out ? forward_limit : owner_wait;
    if (ctx.now - call.arrived_at >= wait_limit || ctx.now >= answer_due(call))
    {
        give_up(ctx, number, call, part);
    }
    else if (ctx.now >= part.retry_at)
    {
        proceed(ctx, number, shard);
    }
}

/// Returns a part for each shard that a call concerns: that of the submission,
/// or all for a count.
std::vector<call_part> parts_of(context const& ctx, call_arrived const& request,
                                std::string_view id)
{
    std::vector<call_part> result;
    if (request.forwarded_to)
    {
        result.emplace_back().shard = *request.forwarded_to;
    }
    else if (!id.empty())
    {
        result.emplace_back().shard =
            layout::first_shard_of(id, ctx.state.shards.size());
    }
    else
    {
        for (auto const& shard : ctx.state.shards)
        {
            result.emplace_back().shard = shard.number;
        }
    }
    return result;
}

/// Replaces the queue of a call by that of another daemon with a newer
/// configuration.
void adopt_newer(open_call& call, std::optional<selected_queue> const& other)
{
    if (other && other->config_version > call.selected->config_version)
    {
        call.selected = other;
    }
}

/// Returns the time since which a call that is read now may have been waiting.
time_ms earliest_arrival(context const& ctx)
{
    auto const& gap = ctx.state.last_standstill;
    return gap && ctx.now - gap->ended_at < backlog_time ? gap->began_at
                                                         : ctx.now;
}

} // namespace

void arrived(context& ctx, call_arrived const& request)
{
    auto& call = ctx.state.calls[request.call];
    call.request = request;
    call.arrived_at = earliest_arrival(ctx);
    if (call.request.time_limit <= time_ms(0))
    {
        call.request.time_limit = default_time_limit;
    }
    auto const to = request.forwarded_to;
    // Its caller may have given up, and even cancelled, while this process
    // stood still.
    auto const too_late = ctx.now >= answer_due(call);
    if (too_late || !ctx.state.config || ctx.state.shards.empty()
        || (to && *to >= ctx.state.shards.size()))
    {
        finish(ctx, request.call, answer::code::unavailable);
        return;
    }
    if (to)
    {
        queue_selection::note_forwarded(ctx, request);
    }
    call.selected = queue_selection::select(ctx, request, request.selected);
    if (!call.selected)
    {
        refuse_without_queue(ctx, request.call, false);
        return;
    }
    call.parts = parts_of(
        ctx, request, queue_selection::id_of(request, call.selected->target));
    for (auto const& part : std::vector<call_part>(call.parts))
    {
        if (ctx.state.calls.contains(request.call))
        {
            proceed(ctx, request.call, part.shard);
        }
    }
}

void forward_ended(context& ctx, forward_replied const& reply)
{
    auto const found = ctx.state.calls.find(reply.call);
    if (found == ctx.state.calls.end())
    {
        return;
    }
    auto& part = *part_of(found->second, reply.shard);
    part.waits_for_peer = false;
    if (reply.reply.result == answer::code::not_owner)
    {
        part.retry_at = ctx.now + retry_pause;
        return;
    }
    if (reply.reply.result == answer::code::moved
        && reply.reply.shard < ctx.state.shards.size())
    {
        part.shard = reply.reply.shard;
        adopt_newer(found->second, reply.reply.selected);
        proceed(ctx, reply.call, part.shard);
        return;
    }
    if (reply.reply.result == answer::code::unknown)
    {
        part.maybe_carried_out = true;
        part.retry_at = ctx.now + retry_pause;
        return;
    }
    if ((reply.reply.result == answer::code::unavailable
         || reply.reply.result == answer::code::no_queue)
        && part.maybe_carried_out
        && found->second.request.verb == call_verb::submit)
    {
        finish(ctx, reply.call, answer::code::unknown);
        return;
    }
    finish_part(ctx, reply.call, reply.shard, reply.reply);
}

void stored(shard_context& ctx, std::uint64_t call)
{
    finish(ctx, call, answer::code::ok);
}

void cancellation_stored(shard_context& ctx, std::uint64_t call,
                         std::string_view id)
{
    try_second_shard(ctx, call, std::string(id));
}

void redirect(shard_context& ctx, std::uint64_t number, std::uint32_t to)
{
    auto const found = ctx.state.calls.find(number);
    if (found == ctx.state.calls.end())
    {
        return;
    }
    if (found->second.request.forwarded_to)
    {
        finish(ctx, number,
               answer{answer::code::moved, {}, 0, to, found->second.selected});
        return;
    }
    auto& part = *part_of(found->second, ctx.shard.number);
    part.waits_for_log = false;
    part.shard = to;
    proceed(ctx, number, to);
}

void log_abandoned(shard_context& ctx)
{
    std::vector<std::uint64_t> waiting;
    for (auto& [number, call] : ctx.state.calls)
    {
        auto const* const part = part_of(call, ctx.shard.number);
        if (part && part->waits_for_log)
        {
            waiting.push_back(number);
        }
    }
    for (auto const number : waiting)
    {
        auto& call = ctx.state.calls.at(number);
        if (call.request.forwarded_to)
        {
            finish(ctx, number, answer::code::unknown);
            continue;
        }
        // If the submission was stored after all, the new owner finds it
        // under the same ID.
        auto& part = *part_of(call, ctx.shard.number);
        part.waits_for_log = false;
        part.maybe_carried_out = true;
        part.retry_at = ctx.now + retry_pause;
    }
}

void fail_open_calls(context& ctx)
{
    std::vector<std::pair<std::uint64_t, bool>> open;
    for (auto const& [number, call] : ctx.state.calls)
    {
        auto const maybe_carried_out = std::any_of(
            call.parts.begin(), call.parts.end(), [](call_part const& part) {
                return part.maybe_carried_out || part.waits_for_log
                       || part.waits_for_peer;
            });
        open.emplace_back(number, maybe_carried_out);
    }
    for (auto const& [number, maybe_carried_out] : open)
    {
        finish(ctx, number,
               maybe_carried_out ? answer::code::unknown
                                 : answer::code::unavailable);
    }
}

void tick(context& ctx)
{
    std::vector<std::pair<std::uint64_t, std::uint32_t>> open;
    for (auto const& [number, call] : ctx.state.calls)
    {
        for (auto const& part : call.parts)
        {
            open.emplace_back(number, part.shard);
        }
    }
    for (auto const& [number, shard] : open)
    {
        retry_or_give_up(ctx, number, shard);
    }
}

} // namespace jaydrift::schedule::calls
