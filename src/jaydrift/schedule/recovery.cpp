#include <jaydrift/schedule/recovery.hpp>

#include <jaydrift/schedule/assignments.hpp>
#include <jaydrift/schedule/cancellations.hpp>
#include <jaydrift/schedule/event.hpp>
#include <jaydrift/schedule/guest_submissions.hpp>
#include <jaydrift/schedule/interference.hpp>
#include <jaydrift/schedule/limits.hpp>
#include <jaydrift/schedule/queue_terms.hpp>
#include <jaydrift/schedule/record_log.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/start_flow.hpp>
#include <jaydrift/schedule/store_session.hpp>
#include <jaydrift/schedule/submissions.hpp>
#include <jaydrift/schedule/task_assignments.hpp>
#include <jaydrift/schedule/unreadable.hpp>
#include <jaydrift/schedule/workers.hpp>

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

namespace jaydrift::schedule::recovery {

namespace {

/// Time limit of each read; 1 MB takes 10 ms.
constexpr time_ms read_time_limit{2000};

/// Time between a failed read and the next one.
constexpr time_ms read_pause{150};

/// The owner starts to serve after this time even if not all workers are
/// fenced. Tasks that may run on the others wait; see `unaccounted_until`.
constexpr time_ms fencing_time_limit{400};

constexpr auto max_serial =
    static_cast<std::uint64_t>(limits::max_continued_number);

/// Longest time that an earlier owner on the other side of a network partition
/// keeps starting tasks after it was found silent.
constexpr time_ms isolation_margin{1000};

void read_submissions(shard_context& ctx)
{
    store_session::call(ctx, store_purpose::read_submissions,
                        read_area{store_area::submissions, ctx.shard.number},
                        store_session::extended_time_limit(
                            read_time_limit, ctx.shard.ownership.failed_reads));
}

/// Reads the assignments of workers. The owner record of this daemon is in the
/// store, so from now on only this daemon gives workers of the shard away.
void read_assignments(shard_context& ctx)
{
    store_session::call(ctx, store_purpose::read_assignments,
                        read_area{store_area::assignments},
                        store_session::extended_time_limit(
                            read_time_limit, ctx.shard.ownership.failed_reads));
}

/// Plans the next reads after one has failed.
void read_failed(shard_context& ctx, std::string_view what)
{
    ctx.log(log_level::warning, "ownership",
            "the " + std::string(what)
                + " could not be read from the store, trying again");
    ctx.shard.ownership.read_again_at = ctx.now + read_pause;
    ++ctx.shard.ownership.failed_reads;
}

/// Returns whether all workers whose address is known have been fenced.
bool all_fenced(shard_context const& ctx)
{
    return std::all_of(ctx.shard.workers.begin(), ctx.shard.workers.end(),
                       [](auto const& item) {
                           return item.second.fenced
                                  || item.second.entry.address.empty();
                       });
}

/// Marks the tasks without a known place: an earlier owner may have started
/// them on a worker that has not answered.
void mark_unplaced_tasks(shard_context& ctx)
{
    for (auto const& id : ctx.shard.active)
    {
        submissions::for_each_task(
            *submissions::find(ctx, id), [](task_id const&, task_state& task) {
                task.maybe_running = !task.done && !task.place;
            });
    }
}

/// Adds the workers of the fleet record whose own entries have expired, to be
/// fenced at their last known address.
void restore_fleet(shard_context& ctx)
{
    for (auto const& [id, address] : ctx.shard.record_log.fleet.addresses)
    {
        // A worker may have gone to another shard since the record was stored.
        if (assignments::shard_of(ctx.state, id) != ctx.shard.number)
        {
            continue;
        }
        auto& worker = ctx.shard.workers[id];
        worker.in_fleet_record = true;
        if (worker.entry.id.empty())
        {
            worker.entry.id = id;
            worker.entry.address = address;
            worker.listed = false;
            worker.unlisted_at = ctx.now;
        }
    }
}

/// Reserves room for the runs that the store knows of, until the workers report
/// what they run.
void restore_runs(shard_context& ctx)
{
    for (auto const& submission_id : ctx.shard.active)
    {
        auto const& submission = *submissions::find(ctx, submission_id);
        submissions::for_each_task(
            submission, [&](task_id const& id, task_state const& task) {
                if (!task.place)
                {
                    return;
                }
                auto& worker = ctx.shard.workers[task.place->worker];
                if (worker.entry.id.empty())
                {
                    worker.entry.id = task.place->worker;
                    worker.listed = false;
                    worker.unlisted_at = ctx.now;
                }
                auto run = workers::reservation(submission, id.step);
                run.phase = run_phase::running;
                run.pace_unknown = run.opportunistic;
                run.started_at = ctx.now;
                run.progress_at = ctx.now;
                // The first report tells whether the worker has the run: it has
                // seen the new fencing token, so no earlier start can follow.
                run.confirmed_at = ctx.shard.ownership.role_since;
                workers::add_run(worker, {id, task.place->run}, std::move(run));
            });
    }
    for (auto& [id, worker] : ctx.shard.workers)
    {
        worker.runs_gone_at = ctx.shard.ownership.unaccounted_until;
    }
}

void restore_relocation(shard_context& ctx, relocation_record const& record)
{
    if (record.second_shard >= ctx.state.shards.size())
    {
        ctx.log_work(log_level::error, "ownership",
                     "the relocation of " + record.id + " to shard "
                         + std::to_string(record.second_shard)
                         + " is ignored, there is no such shard");
        ctx.count("unreadable_records_total", "relocation");
        return;
    }
    ctx.shard.relocations[record.id] = {record, true, {}};
}

/// Starts to serve the shard.
void finish(shard_context& ctx)
{
    auto const duration = ctx.now - ctx.shard.ownership.role_since;
    std::size_t unfenced = 0;
    auto any_unaccounted = false;
    for (auto& [id, worker] : ctx.shard.workers)
    {
        worker.unaccounted = !worker.fenced || worker.more_ends;
        // A worker may have been listed, or have started again, since the runs
        // were restored.
        worker.runs_gone_at = std::max(worker.runs_gone_at,
                                       ctx.shard.ownership.unaccounted_until);
        unfenced += worker.fenced ? 0 : 1;
        any_unaccounted = any_unaccounted || worker.unaccounted;
    }
    if (any_unaccounted)
    {
        mark_unplaced_tasks(ctx);
    }
    ctx.shard.ownership.role = owner_role::owner;
    ctx.shard.ownership.role_since = ctx.now;
    ctx.shard.placement_due = true;
    ctx.observe("recovery_ms", duration);
    ctx.log(log_level::info, "ownership",
            "serving after " + std::to_string(duration.count()) + " ms with "
                + std::to_string(ctx.shard.active.size()) + " submissions, "
                + std::to_string(ctx.shard.workers.size()) + " workers, "
                + std::to_string(unfenced) + " of them not fenced");
}

} // namespace

void begin(shard_context& ctx)
{
    discard_state(ctx);
    ctx.shard.ownership.unaccounted_until =
        ctx.now + workers::longest_lease(ctx.state) + isolation_margin;
    read_submissions(ctx);
    read_assignments(ctx);
    store_session::tick(ctx);
    for (auto const& [id, entry] : ctx.state.worker_entries)
    {
        if (assignments::shard_of(ctx.state, id) == ctx.shard.number)
        {
            workers::entry_changed(ctx, entry);
        }
    }
    ctx.shard.ownership.workers_read = ctx.state.store.workers.loaded;
}

void discard_state(shard_context& ctx)
{
    ctx.shard.record_log = {};
    record_log::fleet_changed(ctx);
    ctx.shard.workers.clear();
    ctx.shard.submissions.clear();
    ctx.shard.relocations.clear();
    ctx.shard.cancellations.clear();
    ctx.shard.active.clear();
    start_flow::forget(ctx);
    std::erase_if(ctx.state.worker_calls, [&ctx](auto const& each) {
        return each.second.shard == ctx.shard.number;
    });
    ctx.shard.interference = {};
    ctx.shard.transfer.reset();
    ctx.shard.task_transfer.reset();
    ctx.shard.room_offers.clear();
    ctx.shard.room_demands.clear();
    ctx.shard.given_tasks.clear();
    ctx.shard.guest_reads.clear();
    ctx.shard.task_assignments_version = 0;
    ctx.shard.task_removal_call.reset();
    ctx.shard.ownership.written_revision = 0;
    ctx.shard.ownership.forgotten_token = 0;
    ctx.shard.ownership.submissions_read = false;
    ctx.shard.ownership.assignments_read = false;
    ctx.shard.ownership.workers_read = false;
    ctx.shard.ownership.read_again_at.reset();
    ctx.shard.ownership.failed_reads = 0;
    ctx.shard.ownership.fencing_since.reset();
}

void submissions_read(shard_context& ctx, store_replied const& reply)
{
    if (ctx.shard.ownership.role != owner_role::recovering
        || ctx.shard.ownership.submissions_read)
    {
        return;
    }
    if (reply.status != store_status::ok)
    {
        read_failed(ctx, "submissions");
        return;
    }
    for (auto const& item : reply.items)
    {
        if (auto const* const record =
                std::get_if<submission_record>(&item.record))
        {
            auto& added = submissions::add(ctx, *record);
            added.record_stored = true;
            added.stored_version = added.version;
        }
        else if (item.key.kind == record_kind::serial)
        {
            // One that cannot be read is replaced by the first write.
            auto const* const serial = std::get_if<serial_record>(&item.record);
            ctx.shard.record_log.serial =
                serial ? std::min(serial->value, max_serial) : 0;
            ctx.shard.record_log.serial_revision = item.revision;
        }
        else if (auto const* const fleet =
                     std::get_if<fleet_record>(&item.record))
        {
            ctx.shard.record_log.fleet = *fleet;
        }
        else if (auto const* const relocated =
                     std::get_if<relocation_record>(&item.record))
        {
            restore_relocation(ctx, *relocated);
        }
        else if (auto const* const cancelled =
                     std::get_if<cancellation_record>(&item.record))
        {
            cancellations::restore(ctx, *cancelled);
        }
        else if (auto const* const learned =
                     std::get_if<interference_record>(&item.record))
        {
            interference::restore(ctx.shard.interference, *learned);
        }
        unreadable::report(ctx, item, log_level::error, "ownership");
    }
    // Progress can be restored only for submissions that have been added.
    for (auto const& item : reply.items)
    {
        if (auto const* const record =
                std::get_if<progress_record>(&item.record))
        {
            submissions::restore(ctx, *record);
        }
    }
    queue_terms::store_new(ctx);
    ctx.shard.ownership.submissions_read = true;
}

void assignments_read(shard_context& ctx, store_replied const& reply)
{
    auto& ownership = ctx.shard.ownership;
    if (ownership.role != owner_role::recovering || ownership.assignments_read)
    {
        return;
    }
    if (reply.status != store_status::ok)
    {
        read_failed(ctx, "assignments of workers");
        return;
    }
    assignments::observe_all(ctx, reply.items, reply.revision);
    task_assignments::observe_all(ctx, reply.items, reply.revision);
    ownership.assignments_read = true;
}

void tick(shard_context& ctx)
{
    auto& ownership = ctx.shard.ownership;
    if (ownership.role == owner_role::recovering && ownership.read_again_at
        && ctx.now >= *ownership.read_again_at)
    {
        ownership.read_again_at.reset();
        if (!ownership.submissions_read)
        {
            read_submissions(ctx);
        }
        if (!ownership.assignments_read)
        {
            read_assignments(ctx);
        }
    }
    if (ownership.role != owner_role::recovering || !ownership.submissions_read
        || !ownership.assignments_read || !ownership.workers_read)
    {
        return;
    }
    if (!ownership.fencing_since)
    {
        task_assignments::reconcile(ctx);
        if (!guest_submissions::all_loaded(ctx))
        {
            return;
        }
        ownership.fencing_since = ctx.now;
        restore_fleet(ctx);
        restore_runs(ctx);
        return;
    }
    if (all_fenced(ctx)
        || ctx.now - *ownership.fencing_since >= fencing_time_limit)
    {
        finish(ctx);
    }
}

bool any_worker_unaccounted(shard_context const& ctx)
{
    auto const leases_hold = ctx.now < ctx.shard.ownership.unaccounted_until;
    return std::any_of(ctx.shard.workers.begin(), ctx.shard.workers.end(),
                       [&ctx, leases_hold](auto const& item) {
                           // A worker that answers still has to list the ends.
                           auto const& worker = item.second;
                           return worker.unaccounted
                                  && (leases_hold || worker.fenced
                                      || ctx.now < worker.runs_gone_at
                                      || !workers::is_silent(ctx, worker));
                       });
}

} // namespace jaydrift::schedule::recovery
