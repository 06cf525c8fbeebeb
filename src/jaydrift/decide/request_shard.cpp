#include <jaydrift/decide/requests.hpp>

#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/workers.hpp>

#include <jaydrift/decide/request_steps.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace jaydrift::decide::requests {

namespace {

/// Limits the answers in a hand-over message to what a daemon accepts.
constexpr std::size_t max_handed_over_bytes = 16U << 20U;

request_entry& add_unresolved(context& ctx, request_key const& key)
{
    auto& requests = ctx.state.requests;
    auto& entry = requests.shards[key.shard].entries[key.id];
    ++requests.entry_count;
    entry.phase = request_phase::unresolved;
    entry.arrived = ctx.now;
    entry.result = unknown("an earlier owner started it");
    entry.expires_at = ctx.now + ctx.state.settings.request_retention;
    requests.expiries.emplace_back(*entry.expires_at, key);
    return entry;
}

/// Records that a worker runs a request that this daemon did not start there.
void mark_running(context& ctx, request_key const& key, std::string_view worker,
                  task_report const& report)
{
    auto* entry = find_entry(ctx.state, key);
    if (entry->phase == request_phase::started
        || entry->phase == request_phase::done)
    {
        return;
    }
    if (entry->phase != request_phase::unresolved)
    {
        leave_unresolved(ctx, key, "an earlier owner started it");
    }
    entry->worker = std::string(worker);
    entry->attempt = std::max(entry->attempt, report.attempt);
    workers::reserve(ctx, worker, report.task);
    // The worker reports the end of the task to the earlier owner, so the
    // reservation ends when the lease expires. If the task still runs then, the
    // worker's reported use includes it.
    ctx.state.requests.unconfirmed_starts.push_back(
        {ctx.now + ctx.state.settings.worker_lease, entry->worker, key.id});
}

void apply_report(context& ctx, request_key const& key, std::string_view worker,
                  task_report const& report)
{
    if (find_entry(ctx.state, key) == nullptr)
    {
        auto& entry = add_unresolved(ctx, key);
        entry.request.id = key.id;
        entry.request.kind = report.task.kind;
        entry.priority = report.task.priority;
    }
    switch (report.state)
    {
    case task_state::running:
        mark_running(ctx, key, worker, report);
        return;
    case task_state::finished:
        finish(ctx, key, {request_outcome::completed, report.answer, {}});
        return;
    default:
        leave_unresolved(ctx, key, "it ended without a result");
        return;
    }
}

bool may_have_run(daemon_state const& state, request_entry const& entry)
{
    switch (entry.phase)
    {
    case request_phase::checking:
    case request_phase::waiting:
        return false;
    case request_phase::delegated:
        return entry.forward == 0 || entry.maybe_started
               || forward_sent(state, entry.forward);
    default:
        return true;
    }
}

/// Sends a request that did not start to the next owner, or lets the daemon or
/// the entry that waits for it do so.
void send_to_next_owner(context& ctx, shard_id const& shard,
                        request_entry const& entry,
                        request_waiter const& waiter)
{
    if (auto const* peer = std::get_if<waiting_peer>(&waiter.who))
    {
        ctx.emit(answer_peer{peer->call, peer_acknowledgement{false}});
    }
    else if (auto const* record = std::get_if<waiting_record>(&waiter.who))
    {
        on_delegation_returned(ctx, record->key);
    }
    else
    {
        forward(ctx, entry.request, shard, forward_purpose::execute, waiter);
    }
}

void drop_entry(context& ctx, request_key const& key, request_entry& entry)
{
    auto& requests = ctx.state.requests;
    auto const may_run = may_have_run(ctx.state, entry);
    if (!entry.worker.empty())
    {
        workers::release(ctx, entry.worker, key.id);
    }
    if (entry.phase == request_phase::waiting)
    {
        --requests.queues.at(queue_index(entry.priority)).length;
    }
    for (auto const& waiter : entry.waiters)
    {
        requests.deadlines.erase({waiter.deadline, key});
    }
    requests.payload_bytes -= entry.request.payload.size();
    requests.answer_bytes -= entry.result.answer.size();
    --requests.entry_count;
    cancel_forward(ctx.state, entry.forward);
    for (auto const& waiter : entry.waiters)
    {
        if (may_run)
        {
            send_result(ctx, waiter, key.id,
                        unknown("another daemon took the shard over"));
        }
        else
        {
            send_to_next_owner(ctx, key.shard, entry, waiter);
        }
    }
}

request_record to_record(std::string const& id, request_entry const& entry,
                         std::size_t& answer_bytes_left)
{
    request_record record;
    record.id = id;
    record.worker = entry.worker;
    record.attempt = entry.attempt;
    record.started = entry.result.outcome != request_outcome::not_run
                     || entry.phase != request_phase::done;
    record.finished = entry.phase == request_phase::done;
    record.result = entry.result;
    if (!record.finished)
    {
        record.result = unknown("an earlier owner started it");
    }
    else if (record.result.answer.size() > answer_bytes_left)
    {
        record.result = unknown("the answer is no longer kept");
    }
    answer_bytes_left -= record.result.answer.size();
    return record;
}

} // namespace

void on_inventory(context& ctx, shard_id const& shard, std::string_view worker,
                  std::span<task_report const> tasks)
{
    for (auto const& report : tasks)
    {
        if (report.task.priority == task_class::urgent
            || report.task.priority == task_class::service)
        {
            apply_report(ctx, {shard, report.task.id}, worker, report);
        }
    }
}

void on_handed_over(context& ctx, shard_id const& shard,
                    std::span<request_record const> records)
{
    for (auto const& record : records)
    {
        request_key const key{shard, record.id};
        if (find_entry(ctx.state, key) == nullptr)
        {
            auto& entry = add_unresolved(ctx, key);
            entry.request.id = record.id;
            entry.worker = record.worker;
            entry.attempt = record.attempt;
        }
        if (record.finished)
        {
            finish(ctx, key, record.result);
        }
    }
}

void on_shard_acquired(context& ctx, shard_id const& shard)
{
    advance_forwards_to(ctx, shard);
    dispatch(ctx, shard);
}

void on_shard_lost(context& ctx, shard_id const& shard)
{
    auto& requests = ctx.state.requests;
    auto lost = requests.shards.extract(shard);
    if (lost.empty())
    {
        return;
    }
    std::erase_if(requests.starts, [&](auto const& item) {
        return item.second.key.shard == shard;
    });
    for (auto& [id, entry] : lost.mapped().entries)
    {
        drop_entry(ctx, {shard, id}, entry);
    }
    bound_answers(ctx.state);
    advance_forwards_to(ctx, shard);
}

std::vector<request_record> records(daemon_state const& state,
                                    shard_id const& shard)
{
    std::vector<request_record> result;
    auto const found = state.requests.shards.find(shard);
    if (found == state.requests.shards.end())
    {
        return result;
    }
    auto answer_bytes_left = max_handed_over_bytes;
    for (auto const& [id, entry] : found->second.entries)
    {
        if (may_have_run(state, entry))
        {
            result.push_back(to_record(id, entry, answer_bytes_left));
        }
    }
    return result;
}

std::uint32_t open_requests(daemon_state const& state, shard_id const& shard)
{
    auto const found = state.requests.shards.find(shard);
    if (found == state.requests.shards.end())
    {
        return 0;
    }
    auto const& entries = found->second.entries;
    auto const open =
        std::count_if(entries.begin(), entries.end(), [&](auto const& item) {
            return !item.second.waiters.empty()
                   && may_have_run(state, item.second);
        });
    return static_cast<std::uint32_t>(open);
}

} // namespace jaydrift::decide::requests
