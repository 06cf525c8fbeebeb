#include <jaydrift/schedule/task_assignments.hpp>

#include <jaydrift/schedule/event.hpp>
#include <jaydrift/schedule/guest_submissions.hpp>
#include <jaydrift/schedule/ownership.hpp>
#include <jaydrift/schedule/run_numbers.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/shard_key.hpp>
#include <jaydrift/schedule/store_session.hpp>
#include <jaydrift/schedule/submissions.hpp>
#include <jaydrift/schedule/workers.hpp>

#include <algorithm>
#include <cstddef>
#include <set>
#include <utility>
#include <variant>
#include <vector>

namespace jaydrift::schedule::task_assignments {

namespace {

/// A task whose record was lost starts again this long after all leases of the
/// shard that had it have expired.
constexpr time_ms lost_record_margin{1000};

constexpr time_ms removal_interval{100};
constexpr time_ms removal_time_limit{600};

/// The watch shows a removal within this time.
constexpr time_ms watch_delay{500};

/// A removal is two entries of a transaction, which also expects the owner
/// record.
constexpr std::size_t max_removals = 15;

void forget(context& ctx, std::string const& name)
{
    ctx.state.task_assignments.erase(name);
    ++ctx.state.task_assignments_version;
}

bool in_transfer(shard_context const& ctx, task_id const& task)
{
    auto const& transfer = ctx.shard.task_transfer;
    return transfer
           && std::any_of(
               transfer->records.begin(), transfer->records.end(),
               [&task](auto const& each) { return each.first.task == task; });
}

/// Takes a task away from the shard and stops its run, if it has one.
void give(shard_context& ctx, submission_state& submission, task_id const& id)
{
    auto* const task = submissions::find_task(submission, id);
    if (!task || task->done || task->elsewhere)
    {
        return;
    }
    if (task->place)
    {
        auto const worker = ctx.shard.workers.find(task->place->worker);
        if (worker != ctx.shard.workers.end())
        {
            workers::stop(ctx, worker->second, {id, task->place->run});
        }
        submissions::withdraw_place(submission, id);
    }
    submissions::give_task(submission, id);
    if (!submission.home)
    {
        ctx.shard.given_tasks.insert(id);
    }
}

/// Makes sure that the shard has a task that is assigned to it.
void take(shard_context& ctx, submission_state& submission,
          task_assignment_record const& record)
{
    auto* const task = submissions::find_task(submission, record.task);
    if (!task || task->done)
    {
        return;
    }
    task->run_base = run_number_base(ctx.shard.ownership.record, record);
    if (task->elsewhere)
    {
        ctx.shard.given_tasks.erase(record.task);
        submissions::take_task(ctx, submission, record.task,
                               ctx.now - record.waited);
    }
}

/// Applies a record to the task that it names.
void apply(shard_context& ctx, task_assignment_record const& record)
{
    auto const here = record.shard == ctx.shard.number;
    if ((!here && record.home != ctx.shard.number)
        || in_transfer(ctx, record.task))
    {
        return;
    }
    auto* const submission = submissions::find(ctx, record.task.submission);
    if (!submission)
    {
        if (here && record.home != ctx.shard.number)
        {
            guest_submissions::load(ctx, record.task.submission, record.home);
        }
    }
    else if (submission->home.value_or(ctx.shard.number) != record.home)
    {
        return;
    }
    else if (here)
    {
        take(ctx, *submission, record);
    }
    else
    {
        give(ctx, *submission, record.task);
    }
}

/// Removes the tasks of a guest that the shard does not have any more. Returns
/// whether it has another one.
bool keep_assigned_tasks(shard_context& ctx, submission_state& guest)
{
    std::vector<task_id> gone;
    auto has_tasks = false;
    submissions::for_each_task(guest, [&](task_id const& id,
                                          task_state const& task) {
        auto const* const known = find(ctx.state, id);
        auto const here = in_transfer(ctx, id)
                          || (known && known->record.shard == ctx.shard.number);
        has_tasks = has_tasks || here;
        if (!here && !task.elsewhere)
        {
            gone.push_back(id);
        }
    });
    for (auto const& id : gone)
    {
        give(ctx, guest, id);
    }
    return has_tasks;
}

void drop_guests(shard_context& ctx)
{
    std::vector<std::string> unneeded;
    for (auto const& id : ctx.shard.active)
    {
        auto& submission = *submissions::find(ctx, id);
        if (submission.home && !keep_assigned_tasks(ctx, submission))
        {
            unneeded.push_back(id);
        }
    }
    for (auto const& id : unneeded)
    {
        ctx.shard.active.erase(id);
        ctx.shard.submissions.erase(id);
    }
}

/// Takes back the tasks whose records are gone though their submissions have
/// not ended: another writer has removed or overwritten them. The shard that
/// had a task stops its run once it sees that, or can extend no lease.
void take_back_lost(shard_context& ctx)
{
    auto const given = ctx.shard.given_tasks;
    for (auto const& id : given)
    {
        auto* const submission = submissions::find_own(ctx, id.submission);
        if (submission && (find(ctx.state, id) || in_transfer(ctx, id)))
        {
            continue;
        }
        ctx.shard.given_tasks.erase(id);
        if (submission && !ended(submission->phase))
        {
            submissions::take_task(ctx, *submission, id, ctx.now);
            submissions::find_task(*submission, id)->not_before =
                ctx.now + workers::longest_lease(ctx.state)
                + lost_record_margin;
            ctx.log_work(log_level::warning, "placement",
                         name_of(id)
                             + " comes back, the record of its shard is gone");
        }
    }
}

/// Returns whether nothing of the submission will run any more, and the store
/// has that.
bool has_ended(shard_context& ctx, std::string const& id)
{
    auto const* const submission = submissions::find_own(ctx, id);
    return !submission || ended(submission->stored_phase);
}

/// Removes records that are not needed any more, as many as fit into a
/// transaction.
void remove_records(shard_context& ctx)
{
    store_transaction removal;
    removal.expected = {
        {shard_key(ctx, record_kind::owner), ctx.shard.ownership.revision}};
    for (auto const& [name, known] : ctx.state.task_assignments)
    {
        if (known.record.home == ctx.shard.number
            && removal.removals.size() < max_removals
            && has_ended(ctx, known.record.task.submission))
        {
            record_key const key{record_kind::task_assignment, name};
            removal.expected.emplace_back(key, known.revision);
            removal.removals.push_back(key);
        }
    }
    if (!removal.removals.empty())
    {
        ctx.shard.task_removal_call =
            store_session::call(ctx, store_purpose::remove_task_assignments,
                                std::move(removal), removal_time_limit);
    }
}

} // namespace

std::string name_of(task_id const& task)
{
    return task.submission + '.' + std::to_string(task.occurrence) + '.'
           + std::to_string(task.step) + '.' + std::to_string(task.index);
}

task_assignment_state const* find(daemon_state const& state,
                                  task_id const& task)
{
    if (state.task_assignments.empty())
    {
        return nullptr;
    }
    auto const found = state.task_assignments.find(name_of(task));
    return found == state.task_assignments.end() ? nullptr : &found->second;
}

bool supported_by_all(daemon_state const& state)
{
    return std::all_of(
        state.members.begin(), state.members.end(),
        [](auto const& each) { return each.second.assigns_tasks; });
}

void observe(context& ctx, task_assignment_record const& record,
             std::uint64_t revision)
{
    auto& known = ctx.state.task_assignments[name_of(record.task)];
    if (known.revision < revision)
    {
        known = {record, revision};
        ++ctx.state.task_assignments_version;
    }
}

void observe_item(context& ctx, store_item const& item)
{
    auto const* const record =
        std::get_if<task_assignment_record>(&item.record);
    if (!item.deleted && record && name_of(record->task) == item.key.name)
    {
        observe(ctx, *record, item.revision);
        return;
    }
    auto const known = ctx.state.task_assignments.find(item.key.name);
    if (known != ctx.state.task_assignments.end()
        && known->second.revision < item.revision)
    {
        forget(ctx, item.key.name);
    }
}

void observe_all(context& ctx, std::span<store_item const> items,
                 std::uint64_t revision)
{
    std::set<std::string, std::less<>> listed;
    for (auto const& item : items)
    {
        if (item.key.kind == record_kind::task_assignment)
        {
            listed.insert(item.key.name);
            observe_item(ctx, item);
        }
    }
    std::vector<std::string> removed;
    for (auto const& [name, known] : ctx.state.task_assignments)
    {
        // A later one may have been learned while the list was on its way.
        if (!listed.contains(name) && known.revision <= revision)
        {
            removed.push_back(name);
        }
    }
    for (auto const& name : removed)
    {
        forget(ctx, name);
    }
}

void received(shard_context& ctx, tasks_assigned const& message)
{
    // A message that is older than the view may name records that were removed.
    if (ctx.shard.ownership.role != owner_role::owner
        || message.revision <= ctx.state.store.coordination.revision)
    {
        return;
    }
    for (auto const& record : message.records)
    {
        if (record.shard == ctx.shard.number
            && record.owner_revision == ctx.shard.ownership.revision)
        {
            observe(ctx, record, message.revision);
        }
    }
    reconcile(ctx);
}

void reconcile(shard_context& ctx)
{
    ctx.shard.task_assignments_version = ctx.state.task_assignments_version;
    for (auto const& [name, known] : ctx.state.task_assignments)
    {
        apply(ctx, known.record);
    }
    drop_guests(ctx);
    take_back_lost(ctx);
}

void removal_replied(shard_context& ctx, store_replied const& reply)
{
    if (ctx.shard.task_removal_call != reply.call)
    {
        return;
    }
    ctx.shard.task_removal_call.reset();
    if (reply.status == store_status::ok)
    {
        ctx.shard.next_task_removal = ctx.now + watch_delay;
        return;
    }
    if (reply.status == store_status::conflict)
    {
        for (auto const& item : reply.items)
        {
            if (item.key.kind == record_kind::task_assignment)
            {
                observe_item(ctx, item);
            }
        }
        ownership::observe_conflict(ctx, reply);
    }
}

void tick(shard_context& ctx)
{
    if (ctx.shard.ownership.role != owner_role::owner)
    {
        return;
    }
    if (ctx.shard.task_assignments_version
        != ctx.state.task_assignments_version)
    {
        reconcile(ctx);
    }
    if (!ctx.shard.task_removal_call && ctx.now >= ctx.shard.next_task_removal)
    {
        ctx.shard.next_task_removal = ctx.now + removal_interval;
        remove_records(ctx);
    }
}

} // namespace jaydrift::schedule::task_assignments
