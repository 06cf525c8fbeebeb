#include <jaydrift/schedule/areas.hpp>

#include <jaydrift/core/printable.hpp>
#include <jaydrift/schedule/assignments.hpp>
#include <jaydrift/schedule/configuration_changes.hpp>
#include <jaydrift/schedule/layout.hpp>
#include <jaydrift/schedule/ownership.hpp>
#include <jaydrift/schedule/queue_terms.hpp>
#include <jaydrift/schedule/relayed_view.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/task_assignments.hpp>
#include <jaydrift/schedule/unreadable.hpp>
#include <jaydrift/schedule/workers.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <variant>

namespace jaydrift::schedule::areas {

namespace {

/// Returns the shard that the worker belongs to. The layout must be known.
shard_state& shard_of_worker(context& ctx, std::string_view worker)
{
    return ctx.state.shards[assignments::shard_of(ctx.state, worker)];
}

void report_unreadable(context& ctx, store_item const& item)
{
    unreadable::report(ctx, item, log_level::warning, "store");
}

/// Applies a configuration of a revision unless a later version is in force.
void apply_configuration(context& ctx, configuration const& config,
                         std::uint64_t revision)
{
    if (ctx.state.config && config.version <= ctx.state.config->version)
    {
        return;
    }
    configuration_changes::note(ctx.state.relay.history,
                                ctx.state.config ? &*ctx.state.config : nullptr,
                                config, revision);
    ctx.state.config = config;
    for (auto& shard : ctx.state.shards)
    {
        shard_context shard_ctx(ctx, shard);
        queue_terms::configuration_changed(shard_ctx);
        shard.placement_due = true;
    }
    ctx.log(log_level::info, "config",
            "version " + std::to_string(config.version) + " in force, "
                + std::to_string(config.queues.size()) + " queues, revision "
                + std::to_string(revision) + ", from "
                + (ctx.state.relay.source.empty() ? "the store"
                                                  : ctx.state.relay.source));
    if (!config.unreadable_queues.empty())
    {
        ctx.log(log_level::warning, "config",
                std::to_string(config.unreadable_queues.size())
                    + " queues of version " + std::to_string(config.version)
                    + " cannot be read, the first one because "
                    + config.unreadable_queues.front());
        ctx.count("unreadable_records_total", "queue");
    }
}

void set_closed(context& ctx, std::string const& zone, bool closed)
{
    auto const changed = closed ? ctx.state.closed_zones.insert(zone).second
                                : ctx.state.closed_zones.erase(zone) > 0;
    if (changed)
    {
        ctx.state.relay.zones_changed_at = ctx.state.store.operators.revision;
        for (auto& shard : ctx.state.shards)
        {
            shard.placement_due = true;
        }
        ctx.log(log_level::info, "config",
                "zone " + printable(zone) + (closed ? " closed" : " opened"));
    }
}

/// Opens the zones that are closed, except for the given ones.
void open_zones_but(context& ctx,
                    std::set<std::string, std::less<>> const& closed)
{
    // A copy, since set_closed() erases from the set.
    auto const closed_before = ctx.state.closed_zones;
    for (auto const& zone : closed_before)
    {
        if (!closed.contains(zone))
        {
            set_closed(ctx, zone, false);
        }
    }
}

/// Applies the record of a daemon, or its deletion.
void apply_member(context& ctx, store_item const& item)
{
    auto const& node = item.key.name;
    if (node == ctx.state.options.node)
    {
        auto const* const own = std::get_if<member_record>(&item.record);
        ctx.state.store.registered =
            !item.deleted && own && own->address == ctx.state.options.address;
        return;
    }
    if (item.deleted)
    {
        ctx.state.members.erase(node);
        return;
    }
    if (auto const* const record = std::get_if<member_record>(&item.record))
    {
        auto& member = ctx.state.members[node];
        if (member.address != record->address)
        {
            // A daemon at another address has answered nothing yet.
            member = {};
            member.address = record->address;
        }
        member.cpu_share = record->cpu_share;
        member.region = record->region;
        member.assigns_workers = record->assigns_workers;
        member.assigns_tasks = record->assigns_tasks;
    }
}

} // namespace

void operators_changed(context& ctx, store_item const& item)
{
    report_unreadable(ctx, item);
    if (auto const* const config = std::get_if<configuration>(&item.record);
        config && item.key.kind == record_kind::configuration)
    {
        apply_configuration(ctx, *config, item.revision);
    }
    else if (item.key.kind == record_kind::zone_closure)
    {
        set_closed(ctx, item.key.name, !item.deleted);
    }
}

void operators_read(context& ctx, std::span<store_item const> items)
{
    std::set<std::string, std::less<>> closed;
    for (auto const& item : items)
    {
        operators_changed(ctx, item);
        if (item.key.kind == record_kind::zone_closure)
        {
            closed.insert(item.key.name);
        }
    }
    open_zones_but(ctx, closed);
}

bool operators_relayed(context& ctx, relayed_view const& view)
{
    auto const* const change = std::get_if<configuration_change>(&view.config);
    if (change && ctx.state.config
        && change->version > ctx.state.config->version)
    {
        auto const result =
            configuration_changes::apply(*ctx.state.config, *change);
        if (!result)
        {
            return false;
        }
        apply_configuration(ctx, *result, view.config_revision);
    }
    else if (auto const* const config =
                 std::get_if<configuration>(&view.config))
    {
        apply_configuration(ctx, *config, view.config_revision);
    }
    std::set<std::string, std::less<>> const closed(view.closed_zones.begin(),
                                                    view.closed_zones.end());
    for (auto const& zone : closed)
    {
        set_closed(ctx, zone, true);
    }
    open_zones_but(ctx, closed);
    return ctx.state.config.has_value();
}

void coordination_changed(context& ctx, store_item const& item)
{
    report_unreadable(ctx, item);
    if (item.key.kind == record_kind::member)
    {
        apply_member(ctx, item);
    }
    else if (item.key.kind == record_kind::assignment)
    {
        assignments::observe_item(ctx, item);
    }
    else if (item.key.kind == record_kind::task_assignment)
    {
        task_assignments::observe_item(ctx, item);
    }
    else if (item.key.kind == record_kind::layout && !item.deleted)
    {
        layout::observe_item(ctx, item);
    }
    else if (item.key.shard < ctx.state.shards.size())
    {
        shard_context shard_ctx(ctx, ctx.state.shards[item.key.shard]);
        ownership::observe_item(shard_ctx, item);
    }
    else if (item.key.kind == record_kind::owner && !item.deleted)
    {
        layout::observe_shard(ctx, item.key.shard);
    }
}

void coordination_read(context& ctx, std::span<store_item const> items)
{
    std::set<std::string, std::less<>> nodes;
    auto const layout =
        std::find_if(items.begin(), items.end(), [](store_item const& item) {
            return item.key.kind == record_kind::layout;
        });
    if (layout == items.end())
    {
        layout::observe_absence(ctx);
    }
    else
    {
        // First, since records of owners and rosters can be applied only to
        // shards that exist.
        coordination_changed(ctx, *layout);
    }
    for (auto const& item : items)
    {
        coordination_changed(ctx, item);
        if (item.key.kind == record_kind::member)
        {
            nodes.insert(item.key.name);
        }
    }
    std::erase_if(ctx.state.members, [&nodes](auto const& member) {
        return !nodes.contains(member.first);
    });
    assignments::observe_all(ctx, items, ctx.state.store.coordination.revision);
    task_assignments::observe_all(ctx, items,
                                  ctx.state.store.coordination.revision);
    ctx.state.store.registered =
        ctx.state.store.registered && nodes.contains(ctx.state.options.node);
}

void workers_changed(context& ctx, store_item const& item)
{
    auto const* const entry = std::get_if<worker_entry>(&item.record);
    auto const present = !item.deleted && entry && entry->id == item.key.name;
    if (present)
    {
        ctx.state.worker_entries[entry->id] = *entry;
    }
    else
    {
        ctx.state.worker_entries.erase(item.key.name);
    }
    report_unreadable(ctx, item);
    shard_context shard_ctx(ctx, shard_of_worker(ctx, item.key.name));
    if (!holds_shard(shard_ctx.shard.ownership.role))
    {
        return;
    }
    if (present)
    {
        workers::entry_changed(shard_ctx, *entry);
    }
    else
    {
        workers::entry_removed(shard_ctx, item.key.name);
    }
}

void workers_read(context& ctx, std::span<store_item const> items)
{
    std::set<std::string, std::less<>> ids;
    for (auto const& item : items)
    {
        workers_changed(ctx, item);
        ids.insert(item.key.name);
    }
    std::erase_if(ctx.state.worker_entries, [&ids](auto const& each) {
        return !ids.contains(each.first);
    });
    for (auto& shard : ctx.state.shards)
    {
        shard_context shard_ctx(ctx, shard);
        for (auto const& [id, worker] : shard.workers)
        {
            if (worker.listed && !ids.contains(id))
            {
                workers::entry_removed(shard_ctx, id);
            }
        }
        shard.ownership.workers_read = holds_shard(shard.ownership.role);
    }
}

} // namespace jaydrift::schedule::areas
