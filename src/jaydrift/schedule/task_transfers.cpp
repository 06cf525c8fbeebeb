#include <jaydrift/schedule/task_transfers.hpp>

#include <jaydrift/schedule/event.hpp>
#include <jaydrift/schedule/ownership.hpp>
#include <jaydrift/schedule/recovery.hpp>
#include <jaydrift/schedule/room_offer.hpp>
#include <jaydrift/schedule/room_refusal.hpp>
#include <jaydrift/schedule/room_requests.hpp>
#include <jaydrift/schedule/run_numbers.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/shard_key.hpp>
#include <jaydrift/schedule/step_spec.hpp>
#include <jaydrift/schedule/store_session.hpp>
#include <jaydrift/schedule/submissions.hpp>
#include <jaydrift/schedule/task_assignments.hpp>
#include <jaydrift/schedule/waiting_tasks.hpp>

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace jaydrift::schedule::task_transfers {

namespace {

/// An offer is used within this time, in which the worker is kept.
constexpr time_ms offer_time{1000};

/// A task is two entries of a transaction, which also expects the owner records
/// of both shards.
constexpr std::size_t max_tasks = 15;

/// Records in one datagram.
constexpr std::size_t max_notified = 8;

constexpr time_ms write_time_limit{600};
constexpr time_ms retry_pause{100};

record_key key_of(task_id const& task)
{
    return {record_kind::task_assignment, task_assignments::name_of(task)};
}

/// Returns whether a task may be assigned to another shard now: it has no run,
/// and none of an earlier owner may be left.
bool may_leave(shard_context const& ctx, submission_state const& submission,
               task_state const& task, std::uint32_t step)
{
    return may_move(submission, step) && waits(task) && task.checkpoint.empty()
           && !(task.maybe_running && recovery::any_worker_unaccounted(ctx));
}

/// Returns the highest number that a run of the task may have had.
std::uint64_t highest_run(shard_context const& ctx, task_state const& task)
{
    return std::max({task.last_run, task.highest_ended_run, task.run_base,
                     run_number_base(ctx.shard.ownership.record)});
}

/// Adds a task to the transfer if it may still leave. From now on it does not
/// start here, since the transaction may be carried out at any time. Returns
/// false if the task stays.
bool add(shard_context& ctx, task_transfer& transfer, task_id const& id)
{
    auto* const submission = submissions::find(ctx, id.submission);
    auto* const task =
        submission ? submissions::find_task(*submission, id) : nullptr;
    if (!task || !may_leave(ctx, *submission, *task, id.step)
        || transfer.records.size() == max_tasks)
    {
        return false;
    }
    auto const& target = ctx.state.shards[transfer.to].ownership;
    auto const* const known = task_assignments::find(ctx.state, id);
    auto const waited =
        ctx.now
        - waiting_tasks::waiting_since(
            submission->occurrences.front().steps[id.step], *task);
    transfer.records.emplace_back(
        task_assignment_record{id, submission->home.value_or(ctx.shard.number),
                               transfer.to, transfer.to_revision,
                               target.record.term, highest_run(ctx, *task),
                               waited},
        known ? known->revision : 0);
    submissions::give_task(*submission, id);
    if (!submission->home)
    {
        ctx.shard.given_tasks.insert(id);
    }
    return true;
}

/// Tells the shard that has offered room which of it is not needed.
void refuse(shard_context& ctx, room_offer const& offer,
            std::vector<task_id> tasks)
{
    if (tasks.empty() || offer.offering_shard >= ctx.state.shards.size())
    {
        return;
    }
    room_refusal refusal{offer.offering_shard, ctx.state.options.node,
                         ctx.shard.ownership.revision, std::move(tasks)};
    auto& target = ctx.state.shards[offer.offering_shard];
    if (target.ownership.role == owner_role::owner)
    {
        shard_context target_ctx(ctx, target);
        room_requests::refused(target_ctx, refusal);
    }
    else
    {
        ctx.emit(
            send_message{target.ownership.record.address, std::move(refusal)});
    }
}

/// Sends the transaction, for the first time or again. It stays the same, so
/// that whichever copy the store carries out has the same effect.
void send(shard_context& ctx)
{
    auto& transfer = *ctx.shard.task_transfer;
    store_transaction write;
    write.expected = {
        {shard_key(ctx, record_kind::owner), ctx.shard.ownership.revision},
        {{record_kind::owner, {}, transfer.to}, transfer.to_revision}};
    for (auto const& [record, replaced] : transfer.records)
    {
        write.expected.emplace_back(key_of(record.task), replaced);
        write.puts.emplace_back(key_of(record.task), record);
    }
    transfer.call = store_session::call(ctx, store_purpose::assign_tasks,
                                        std::move(write), write_time_limit);
}

/// Returns whether a transfer to the shard that offers room may begin.
bool may_begin(shard_context const& ctx, room_offer const& offer)
{
    return !ctx.state.stopping_since && !ctx.state.store.failing_since
           && offer.offering_shard < ctx.state.shards.size()
           && offer.offering_shard != ctx.shard.number
           && ctx.state.shards[offer.offering_shard].ownership.revision
                  == offer.revision
           && task_assignments::supported_by_all(ctx.state);
}

void begin(shard_context& ctx, room_offer const& offer)
{
    if (!may_begin(ctx, offer))
    {
        refuse(ctx, offer, offer.tasks);
        return;
    }
    task_transfer transfer;
    transfer.to = offer.offering_shard;
    transfer.to_revision = offer.revision;
    transfer.began_at = ctx.now;
    std::vector<task_id> unused;
    for (auto const& id : offer.tasks)
    {
        if (!add(ctx, transfer, id))
        {
            unused.push_back(id);
        }
    }
    refuse(ctx, offer, std::move(unused));
    if (!transfer.records.empty())
    {
        ctx.shard.task_transfer = std::move(transfer);
        send(ctx);
    }
}

/// Begins the next transfer for which there is an offer.
void begin_next(shard_context& ctx)
{
    auto& offers = ctx.shard.room_offers;
    while (!ctx.shard.task_transfer && !offers.empty())
    {
        auto const next = std::move(offers.front());
        offers.pop_front();
        if (ctx.now - next.received_at < offer_time)
        {
            begin(ctx, next.offer);
        }
    }
}

/// Tells the owner of the shard that has the tasks now.
void notify(shard_context& ctx, task_transfer const& transfer,
            std::uint64_t revision)
{
    auto const& target = ctx.state.shards[transfer.to].ownership;
    if (target.role == owner_role::owner
        || target.revision != transfer.to_revision)
    {
        return;
    }
    tasks_assigned message;
    message.shard = transfer.to;
    message.node = ctx.state.options.node;
    message.revision = revision;
    for (auto const& [record, replaced] : transfer.records)
    {
        message.records.push_back(record);
        if (message.records.size() == max_notified)
        {
            ctx.emit(send_message{target.record.address, message});
            message.records.clear();
        }
    }
    if (!message.records.empty())
    {
        ctx.emit(send_message{target.record.address, std::move(message)});
    }
}

void assigned(shard_context& ctx, std::uint64_t revision)
{
    auto const transfer = std::move(*ctx.shard.task_transfer);
    ctx.shard.task_transfer.reset();
    ctx.observe("task_transfer_ms", ctx.now - transfer.began_at);
    for (auto const& [record, replaced] : transfer.records)
    {
        ctx.count("task_transfers_total", "");
        ctx.log_work(log_level::info, "placement",
                     task_assignments::name_of(record.task)
                         + " goes from shard "
                         + std::to_string(ctx.shard.number) + " to shard "
                         + std::to_string(record.shard) + ", revision "
                         + std::to_string(revision));
        task_assignments::observe(ctx, record, revision);
    }
    notify(ctx, transfer, revision);
}

/// Returns the revision of the records if the reply shows that the store has
/// carried the transaction out already.
std::optional<std::uint64_t> find_assigned(task_transfer const& transfer,
                                           store_replied const& reply)
{
    auto const& [record, replaced] = transfer.records.front();
    for (auto const& item : reply.items)
    {
        auto const* const stored =
            std::get_if<task_assignment_record>(&item.record);
        if (stored && *stored == record && item.revision > replaced)
        {
            return item.revision;
        }
    }
    return std::nullopt;
}

/// The transaction will never be carried out: its tasks wait here again, except
/// for those that another shard has.
void give_up(shard_context& ctx)
{
    auto const transfer = std::move(*ctx.shard.task_transfer);
    ctx.shard.task_transfer.reset();
    ctx.log(log_level::info, "placement",
            std::to_string(transfer.records.size()) + " tasks stay in shard "
                + std::to_string(ctx.shard.number) + ", shard "
                + std::to_string(transfer.to)
                + " has another owner, or they were assigned");
    for (auto const& [record, replaced] : transfer.records)
    {
        auto const* const known =
            task_assignments::find(ctx.state, record.task);
        auto* const submission = submissions::find(ctx, record.task.submission);
        auto const here = known ? known->record.shard == ctx.shard.number
                                : submission && !submission->home;
        if (submission && here)
        {
            ctx.shard.given_tasks.erase(record.task);
            submissions::take_task(ctx, *submission, record.task,
                                   transfer.began_at - record.waited);
        }
    }
    task_assignments::reconcile(ctx);
}

} // namespace

bool may_move(submission_state const& submission, std::uint32_t step)
{
    auto const& work = submission.work;
    return submission.record_stored && !ended(submission.phase)
           && !submission.terms.service.empty() && work.repeat_count == 0
           && work.steps[step].long_running && !work.steps[step].gang
           && work.steps[step].after.empty();
}

void offered(shard_context& ctx, room_offer const& offer)
{
    if (ctx.shard.ownership.role == owner_role::owner)
    {
        ctx.shard.room_offers.push_back({offer, ctx.now});
        begin_next(ctx);
    }
}

void replied(shard_context& ctx, store_replied const& reply)
{
    auto& transfer = ctx.shard.task_transfer;
    if (!transfer || transfer->call != reply.call)
    {
        return;
    }
    transfer->call.reset();
    transfer->retry_at = ctx.now + retry_pause;
    if (reply.status == store_status::ok)
    {
        assigned(ctx, reply.revision);
    }
    else if (reply.status == store_status::conflict)
    {
        if (auto const revision = find_assigned(*transfer, reply))
        {
            assigned(ctx, *revision);
            return;
        }
        for (auto const& item : reply.items)
        {
            if (item.key.kind == record_kind::task_assignment)
            {
                task_assignments::observe_item(ctx, item);
            }
        }
        give_up(ctx);
        ownership::observe_conflict(ctx, reply);
    }
}

void tick(shard_context& ctx)
{
    if (ctx.shard.ownership.role != owner_role::owner)
    {
        return;
    }
    auto const& transfer = ctx.shard.task_transfer;
    if (transfer && !transfer->call && ctx.now >= transfer->retry_at)
    {
        send(ctx);
    }
    begin_next(ctx);
}

} // namespace jaydrift::schedule::task_transfers
