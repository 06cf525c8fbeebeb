#include <jaydrift/schedule/worker_transfers.hpp>

#include <jaydrift/schedule/assignments.hpp>
#include <jaydrift/schedule/event.hpp>
#include <jaydrift/schedule/long_running_moves.hpp>
#include <jaydrift/schedule/ownership.hpp>
#include <jaydrift/schedule/relocation.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/shard_key.hpp>
#include <jaydrift/schedule/step_spec.hpp>
#include <jaydrift/schedule/store_session.hpp>
#include <jaydrift/schedule/submissions.hpp>
#include <jaydrift/schedule/waiting_tasks.hpp>
#include <jaydrift/schedule/worker_request.hpp>
#include <jaydrift/schedule/worker_requests.hpp>
#include <jaydrift/schedule/workers.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

namespace jaydrift::schedule::worker_transfers {

namespace {

using shortage_kind = worker_request::shortage_kind;

/// Time between two transfers, in which the loads in requests come to include
/// the first one.
constexpr time_ms transfer_pause{1000};

/// A worker stays in a shard for this long, so that shards do not pass it to
/// and fro.
constexpr time_ms min_stay{3000};

/// Urgent tasks have this long to end by themselves. Then they are stopped.
constexpr time_ms urgent_time{1500};

/// A worker that has not become empty by then stays.
constexpr time_ms emptying_limit{6000};

/// A worker that the shard needs itself goes to a shard whose tasks have waited
/// for this much longer than those here.
constexpr time_ms fair_lead{3000};

/// Largest shares of the processors that a shard keeps which may be in use if
/// it gives a worker away: by long-running tasks for those of another shard,
/// and by firm tasks for a submission of which nothing runs.
constexpr double max_long_running_share = 0.85;
constexpr double max_firm_share = 0.5;

/// Bounds the search for a worker that can be emptied.
constexpr std::size_t max_candidates = 8;

constexpr time_ms write_time_limit{600};
constexpr time_ms retry_pause{100};

record_key key_of(std::string const& worker)
{
    return {record_kind::assignment, worker};
}

bool fits_request(worker_entry const& entry, worker_request const& request)
{
    return entry.service == request.service
           && (request.required_label.empty()
               || workers::has_label(entry, request.required_label))
           && fits(request.demand, entry.capacity);
}

/// Returns whether another worker of the shard could run tasks of the step.
bool has_other_worker(shard_context const& ctx, worker_state const& worker,
                      std::string_view service, step_spec const& spec)
{
    auto const& workers = ctx.shard.workers;
    return std::any_of(workers.begin(), workers.end(), [&](auto const& each) {
        auto const& other = each.second;
        return &other != &worker && other.listed && !other.entry.draining
               && workers::matches_step(other.entry, service, spec)
               && fits(spec.demand, other.entry.capacity);
    });
}

/// Returns how long the tasks of this shard have waited that only this worker
/// can run; 0 if such tasks run or come later, nothing if there are none.
std::optional<time_ms> own_wait(shard_context& ctx, worker_state const& worker)
{
    std::optional<time_ms> result;
    for (auto const& id : ctx.shard.active)
    {
        auto const& submission = *submissions::find(ctx, id);
        for (auto const& occurrence : submission.occurrences)
        {
            for (std::size_t i = 0; i < occurrence.steps.size(); ++i)
            {
                auto const& step = occurrence.steps[i];
                auto const& spec = submission.work.steps[i];
                if (step.done == step.tasks.size()
                    || !workers::matches_step(worker.entry,
                                              submission.terms.service, spec)
                    || !fits(spec.demand, worker.entry.capacity)
                    || has_other_worker(ctx, worker, submission.terms.service,
                                        spec))
                {
                    continue;
                }
                auto const waited =
                    step.ready
                        ? ctx.now - waiting_tasks::waiting_since(step, ctx.now)
                        : time_ms(0);
                result = std::max(result.value_or(waited), waited);
            }
        }
    }
    return result;
}

/// Returns whether the shard may give the worker up although it may have work
/// for it.
bool may_spare(shard_context& ctx, worker_state const& worker,
               worker_request const& request)
{
    auto const own = own_wait(ctx, worker);
    return !own
           || (request.kind == shortage_kind::suitable_worker
               && request.waited >= *own + fair_lead);
}

/// Processors of this shard, in thousandths: what its usable workers have, and
/// what firm tasks, or only long-running ones, hold or wait for.
struct shard_processors
{
    explicit shard_processors(shard_context const& ctx)
        : usable(static_cast<double>(relocation::usable_millicores(ctx))),
          firm(static_cast<double>(relocation::firm_millicores(ctx))),
          long_running(
              static_cast<double>(relocation::long_running_millicores(ctx)))
    {
    }

    double usable;
    double firm;
    double long_running;
};

/// Returns whether the loads of the shards justify that a worker with these
/// processors moves.
bool loads_allow(shard_processors const& own, double moved,
                 worker_request const& request)
{
    auto const left = own.usable - moved;
    switch (request.kind)
    {
    case shortage_kind::suitable_worker:
        return true;
    case shortage_kind::long_running_room:
        // The tasks of the worker must find places here at once, and this shard
        // be the less loaded one afterwards.
        return own.long_running <= left * max_long_running_share
               && own.long_running
                          * (static_cast<double>(request.usable_millicores)
                             + moved)
                      < static_cast<double>(request.long_running_millicores)
                            * left;
    case shortage_kind::room:
        return own.firm <= left * max_firm_share;
    }
    return false;
}

bool has_gang_run(shard_context& ctx, worker_state const& worker)
{
    return std::any_of(
        worker.runs.begin(), worker.runs.end(), [&ctx](auto const& each) {
            auto const& task = each.first.task;
            auto const* const submission =
                submissions::find(ctx, task.submission);
            return submission && task.step < submission->work.steps.size()
                   && submission->work.steps[task.step].gang;
        });
}

bool stayed_long_enough(shard_context const& ctx, worker_state const& worker)
{
    auto const found = ctx.state.assignments.find(worker.entry.id);
    return found == ctx.state.assignments.end()
           || ctx.now - found->second.observed_at >= min_stay;
}

/// Returns the workers that the request asks for, those with the least firm
/// work first.
std::vector<worker_state*> candidates_for(shard_context& ctx,
                                          worker_request const& request)
{
    shard_processors const own(ctx);
    std::vector<worker_state*> result;
    if (!loads_allow(own, 0.0, request))
    {
        return result;
    }
    for (auto& [id, worker] : ctx.shard.workers)
    {
        auto const moved =
            static_cast<double>(worker.entry.capacity.millicores);
        if (workers::usable(ctx, worker) && worker.process_confirmed
            && !worker.kept_for && fits_request(worker.entry, request)
            && loads_allow(own, moved, request)
            && stayed_long_enough(ctx, worker) && !has_gang_run(ctx, worker))
        {
            result.push_back(&worker);
        }
    }
    auto const work = [](worker_state const* each) {
        return std::make_tuple(each->long_running_millicores,
                               each->used.millicores, each->runs.size());
    };
    std::sort(
        result.begin(), result.end(),
        [&work](auto const* a, auto const* b) { return work(a) < work(b); });
    if (result.size() > max_candidates)
    {
        result.resize(max_candidates);
    }
    return result;
}

bool may_give(shard_context const& ctx, worker_request const& request)
{
    return ctx.shard.ownership.role == owner_role::owner
           && !ctx.state.stopping_since && !ctx.state.store.failing_since
           && !ctx.shard.transfer && ctx.now >= ctx.shard.next_transfer
           && request.asking_shard < ctx.state.shards.size()
           && request.asking_shard != ctx.shard.number
           && worker_requests::supported_by_all(ctx.state);
}

void begin(shard_context& ctx, worker_state& worker,
           worker_request const& request)
{
    worker.leaving = true;
    worker_transfer transfer;
    transfer.worker = worker.entry.id;
    transfer.to = request.asking_shard;
    transfer.to_revision = request.revision;
    transfer.began_at = ctx.now;
    ctx.log(log_level::info, "worker",
            worker.entry.id + " with " + std::to_string(worker.runs.size())
                + " runs is to go from shard "
                + std::to_string(ctx.shard.number) + " to shard "
                + std::to_string(transfer.to) + " of " + request.node
                + ", whose tasks have waited for "
                + std::to_string(request.waited.count()) + " ms");
    ctx.shard.transfer = std::move(transfer);
    for (auto const& [id, run] : worker.runs)
    {
        if (run.opportunistic)
        {
            workers::stop(ctx, worker, id);
        }
    }
}

void end(shard_context& ctx)
{
    auto const found = ctx.shard.workers.find(ctx.shard.transfer->worker);
    if (found != ctx.shard.workers.end())
    {
        found->second.leaving = false;
        ctx.shard.placement_due = true;
    }
    ctx.shard.transfer.reset();
    ctx.shard.next_transfer = ctx.now + transfer_pause;
}

void give_up(shard_context& ctx, std::string_view reason)
{
    ctx.log(log_level::info, "worker",
            ctx.shard.transfer->worker + " stays in shard "
                + std::to_string(ctx.shard.number) + ": "
                + std::string(reason));
    end(ctx);
}

/// Returns whether neither the shard nor the store needs anything of the
/// worker: nothing runs there, and the effects of all ends are stored.
bool is_empty(worker_state const& worker)
{
    return worker.runs.empty() && worker.pending_ends.empty()
           && !worker.more_ends
           && worker.acknowledged_end == worker.last_handled_end;
}

/// Sends the transaction, for the first time or again. It stays the same, so
/// that whichever copy the store carries out has the same effect.
void send(shard_context& ctx)
{
    auto& transfer = *ctx.shard.transfer;
    if (!transfer.replaced_revision)
    {
        auto const known = ctx.state.assignments.find(transfer.worker);
        transfer.replaced_revision =
            known == ctx.state.assignments.end() ? 0 : known->second.revision;
    }
    auto const key = key_of(transfer.worker);
    store_transaction write;
    write.expected = {
        {shard_key(ctx, record_kind::owner), ctx.shard.ownership.revision},
        {{record_kind::owner, {}, transfer.to}, transfer.to_revision},
        {key, *transfer.replaced_revision}};
    write.puts.emplace_back(key, assignment_record{transfer.worker, transfer.to,
                                                   transfer.to_revision});
    transfer.call = store_session::call(ctx, store_purpose::assign_worker,
                                        std::move(write), write_time_limit);
}

void assigned(shard_context& ctx, std::uint64_t revision)
{
    auto const transfer = *ctx.shard.transfer;
    ctx.observe("worker_transfer_ms", ctx.now - transfer.began_at);
    ctx.count("worker_transfers_total", "");
    end(ctx);
    assignments::observe(
        ctx, {transfer.worker, transfer.to, transfer.to_revision}, revision);
}

/// Returns the revision of the assignment if the reply shows that the store
/// has carried the transaction out already.
std::optional<std::uint64_t> find_assigned(worker_transfer const& transfer,
                                           store_replied const& reply)
{
    for (auto const& item : reply.items)
    {
        auto const* const record = std::get_if<assignment_record>(&item.record);
        if (record && record->worker == transfer.worker
            && record->shard == transfer.to
            && record->owner_revision == transfer.to_revision
            && item.revision > *transfer.replaced_revision)
        {
            return item.revision;
        }
    }
    return std::nullopt;
}

/// Stops what is left on the worker, and sends the transaction once nothing is.
void empty(shard_context& ctx, worker_state& worker)
{
    auto const& transfer = *ctx.shard.transfer;
    auto const age = ctx.now - transfer.began_at;
    if (!worker.listed || worker.entry.draining || !worker.fenced
        || worker.unanswered_orders > 0)
    {
        give_up(ctx, "it drains, is gone or does not answer");
        return;
    }
    if (is_empty(worker))
    {
        send(ctx);
        return;
    }
    if (age >= emptying_limit)
    {
        give_up(ctx, "it has not become empty");
        return;
    }
    if (age >= urgent_time)
    {
        for (auto const& [id, run] : worker.runs)
        {
            workers::stop(ctx, worker, id);
        }
    }
}

} // namespace

void received(shard_context& ctx, worker_request const& request)
{
    if (!may_give(ctx, request))
    {
        return;
    }
    for (auto* const worker : candidates_for(ctx, request))
    {
        if (may_spare(ctx, *worker, request)
            && long_running_moves::clear(ctx, *worker))
        {
            begin(ctx, *worker, request);
            return;
        }
    }
}

void replied(shard_context& ctx, store_replied const& reply)
{
    auto& transfer = ctx.shard.transfer;
    if (!transfer || transfer->call != reply.call)
    {
        return;
    }
    transfer->call.reset();
    transfer->retry_at = ctx.now + retry_pause;
    if (reply.status == store_status::ok)
    {
        assigned(ctx, reply.revision);
        return;
    }
    if (reply.status != store_status::conflict)
    {
        return;
    }
    if (auto const revision = find_assigned(*transfer, reply))
    {
        assigned(ctx, *revision);
        return;
    }
    give_up(ctx, "a shard has another owner, or the worker was assigned");
    for (auto const& item : reply.items)
    {
        if (item.key.kind == record_kind::assignment)
        {
            assignments::observe_item(ctx, item);
        }
    }
    ownership::observe_conflict(ctx, reply);
}

void tick(shard_context& ctx)
{
    auto const& transfer = ctx.shard.transfer;
    if (!transfer || transfer->call
        || ctx.shard.ownership.role != owner_role::owner
        || ctx.now < transfer->retry_at)
    {
        return;
    }
    auto const found = ctx.shard.workers.find(transfer->worker);
    if (transfer->replaced_revision)
    {
        // A copy of the transaction may be in the store.
        send(ctx);
    }
    else if (found == ctx.shard.workers.end())
    {
        end(ctx);
    }
    else
    {
        empty(ctx, found->second);
    }
}

} // namespace jaydrift::schedule::worker_transfers
