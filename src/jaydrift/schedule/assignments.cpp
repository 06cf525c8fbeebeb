#include <jaydrift/schedule/assignments.hpp>

#include <jaydrift/schedule/event.hpp>
#include <jaydrift/schedule/layout.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/shard_key.hpp>
#include <jaydrift/schedule/store_session.hpp>
#include <jaydrift/schedule/workers.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace jaydrift::schedule::assignments {

namespace {

/// The record of a worker without an entry is removed after this time. A worker
/// that comes back later belongs to the shard of its hash.
constexpr time_ms retention{600000};
constexpr time_ms expiry_interval{5000};
constexpr time_ms removal_time_limit{600};

std::uint32_t hashed_shard_of(daemon_state const& state,
                              std::string_view worker)
{
    return layout::first_shard_of(worker, state.shards.size());
}

/// Moves the state of a worker from one shard to another, as far as this daemon
/// holds them.
void move(context& ctx, std::string const& worker, std::uint32_t from,
          std::uint32_t to)
{
    shard_context source(ctx, ctx.state.shards[from]);
    shard_context target(ctx, ctx.state.shards[to]);
    auto const loses = holds_shard(source.shard.ownership.role);
    auto const gets = holds_shard(target.shard.ownership.role);
    if (loses || gets)
    {
        ctx.log(log_level::info, "worker",
                worker + " now belongs to shard " + std::to_string(to)
                    + ", before to shard " + std::to_string(from));
    }
    if (loses)
    {
        workers::left_shard(source, worker);
    }
    auto const entry = ctx.state.worker_entries.find(worker);
    if (gets && entry != ctx.state.worker_entries.end())
    {
        workers::entry_changed(target, entry->second);
    }
}

/// Carries out a change of the known assignments, and moves the worker if its
/// shard has changed.
template<class Change>
void apply(context& ctx, std::string const& worker, Change change)
{
    if (ctx.state.shards.empty())
    {
        change();
        return;
    }
    auto const before = shard_of(ctx.state, worker);
    change();
    auto const after = shard_of(ctx.state, worker);
    if (before != after)
    {
        move(ctx, worker, before, after);
    }
}

void forget(context& ctx, std::string const& worker)
{
    apply(ctx, worker, [&] { ctx.state.assignments.erase(worker); });
}

/// Returns whether the worker is listed in the store, or the owner still keeps
/// its state.
bool is_present(shard_context const& ctx, std::string const& worker)
{
    return ctx.state.worker_entries.contains(worker)
           || ctx.shard.workers.contains(worker);
}

void remove_record(shard_context& ctx, std::string const& worker,
                   std::uint64_t revision)
{
    record_key const key{record_kind::assignment, worker};
    store_transaction removal;
    removal.expected = {
        {shard_key(ctx, record_kind::owner), ctx.shard.ownership.revision},
        {key, revision}};
    removal.removals.push_back(key);
    store_session::call(ctx, store_purpose::remove_assignment,
                        std::move(removal), removal_time_limit);
}

} // namespace

std::uint32_t shard_of(daemon_state const& state, std::string_view worker)
{
    auto const found = state.assignments.find(worker);
    return found != state.assignments.end()
                   && found->second.record.shard < state.shards.size()
               ? found->second.record.shard
               : hashed_shard_of(state, worker);
}

std::uint64_t fencing_token(shard_context const& ctx, std::string_view worker)
{
    auto const own = ctx.shard.ownership.revision;
    auto const found = ctx.state.assignments.find(worker);
    auto const assigned_to_owner =
        found != ctx.state.assignments.end()
        && found->second.record.shard == ctx.shard.number
        && found->second.record.owner_revision == own;
    return assigned_to_owner ? std::max(own, found->second.revision) : own;
}

void observe(context& ctx, assignment_record const& record,
             std::uint64_t revision)
{
    auto const known = ctx.state.assignments.find(record.worker);
    if (known != ctx.state.assignments.end()
        && known->second.revision >= revision)
    {
        return;
    }
    apply(ctx, record.worker, [&] {
        ctx.state.assignments[record.worker] = {record, revision, ctx.now, {}};
    });
}

void observe_item(context& ctx, store_item const& item)
{
    auto const& worker = item.key.name;
    if (item.deleted)
    {
        auto const known = ctx.state.assignments.find(worker);
        if (known != ctx.state.assignments.end()
            && known->second.revision < item.revision)
        {
            forget(ctx, worker);
        }
        return;
    }
    auto const* const record = std::get_if<assignment_record>(&item.record);
    if (record && record->worker == worker)
    {
        observe(ctx, *record, item.revision);
    }
    else if (!ctx.state.shards.empty())
    {
        observe(ctx, {worker, hashed_shard_of(ctx.state, worker), 0},
                item.revision);
    }
}

void observe_all(context& ctx, std::span<store_item const> items,
                 std::uint64_t revision)
{
    std::set<std::string, std::less<>> listed;
    for (auto const& item : items)
    {
        if (item.key.kind == record_kind::assignment)
        {
            listed.insert(item.key.name);
            observe_item(ctx, item);
        }
    }
    std::vector<std::string> removed;
    for (auto const& [worker, known] : ctx.state.assignments)
    {
        // A later one may have been learned while the list was on its way.
        if (!listed.contains(worker) && known.revision <= revision)
        {
            removed.push_back(worker);
        }
    }
    for (auto const& worker : removed)
    {
        forget(ctx, worker);
    }
}

void tick(shard_context& ctx)
{
    if (ctx.shard.ownership.role != owner_role::owner
        || ctx.now < ctx.shard.next_assignment_expiry)
    {
        return;
    }
    ctx.shard.next_assignment_expiry = ctx.now + expiry_interval;
    for (auto& [worker, known] : ctx.state.assignments)
    {
        if (known.record.shard != ctx.shard.number)
        {
            continue;
        }
        if (is_present(ctx, worker))
        {
            known.absent_since.reset();
            continue;
        }
        known.absent_since = known.absent_since.value_or(ctx.now);
        if (ctx.now - *known.absent_since >= retention)
        {
            remove_record(ctx, worker, known.revision);
            return;
        }
    }
}

} // namespace jaydrift::schedule::assignments
