#include <jaydrift/decide/workers.hpp>

#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/ownership.hpp>

#include <jaydrift/decide/interference.hpp>

#include <algorithm>

namespace jaydrift::decide::workers {

namespace {

/// The list lags and may name a VM as gone and then as live again, so what is
/// known about a VM is kept for a while.
constexpr time_ms gone_retention{3600000};

/// Far above the design size of 700; bounds the memory if the list is wrong.
constexpr std::size_t max_workers = 20000;

void remove_name(worker_state& workers, worker_entry const& entry)
{
    auto const shard = workers.by_shard.find(entry.shard);
    if (shard == workers.by_shard.end())
    {
        return;
    }
    std::erase(shard->second, entry.vm.worker);
    if (shard->second.empty())
    {
        workers.by_shard.erase(shard);
    }
}

void insert_name(worker_state& workers, worker_entry const& entry)
{
    auto& names = workers.by_shard[entry.shard];
    auto const at =
        std::lower_bound(names.begin(), names.end(), entry.vm.worker);
    if (at == names.end() || *at != entry.vm.worker)
    {
        names.insert(at, entry.vm.worker);
    }
}

/// Tells whether another VM took the name of a known one.
bool replaced(vm_info const& known, vm_info const& vm)
{
    return known.address != vm.address
           || (known.state == vm_state::gone && vm.state != vm_state::gone);
}

/// What the earlier VM told does not hold for its replacement.
void forget_replies(worker_entry& entry)
{
    entry.reported_at = {};
    entry.epoch = 0;
    entry.capacity = {};
    entry.leaving = false;
    entry.usage_generation = 0;
    entry.measured_millicores = 0;
    entry.unreserved_use = {};
    entry.starts = {};
    entry.breaker = {};
}

void take_over(context& ctx, vm_info const& vm)
{
    auto& workers = ctx.state.workers;
    if (!workers.entries.contains(vm.worker)
        && workers.entries.size() >= max_workers)
    {
        ctx.log(log_level::error, "workers",
                "VM " + vm.worker + " is ignored: too many VMs in the list.");
        return;
    }
    auto& entry = workers.entries[vm.worker];
    if (!entry.vm.worker.empty())
    {
        remove_name(workers, entry);
    }
    if (vm.state == vm_state::gone && entry.vm.state != vm_state::gone)
    {
        entry.gone_at = ctx.now;
    }
    if (replaced(entry.vm, vm))
    {
        forget_replies(entry);
    }
    entry.vm = vm;
    entry.shard = ownership::shard_of_worker(ctx.state, vm.region, vm.worker);
    if (vm.state != vm_state::gone)
    {
        insert_name(workers, entry);
    }
}

void drop_gone(worker_state& workers, time_ms now)
{
    std::erase_if(workers.entries, [&](auto const& item) {
        auto const& entry = item.second;
        return entry.vm.state == vm_state::gone
               && now >= entry.gone_at + gone_retention;
    });
}

} // namespace

void on_timer(context& ctx)
{
    auto& workers = ctx.state.workers;
    decay_interference(workers.interference, ctx.now);
    if (ctx.now < workers.next_list_query)
    {
        return;
    }
    workers.next_list_query = ctx.now + ctx.state.settings.vm_list_interval;
    if (workers.list_query)
    {
        return;
    }
    drop_gone(workers, ctx.now);
    workers.list_query = ctx.ask_store(reducer_module::workers,
                                       list_vms_request{workers.list_revision});
}

void on_store_replied(context& ctx, store_replied const& event)
{
    auto& workers = ctx.state.workers;
    if (workers.list_query != event.correlation)
    {
        return;
    }
    workers.list_query.reset();
    if (event.reply.outcome != store_outcome::ok)
    {
        return;
    }
    for (auto const& vm : event.reply.vms)
    {
        take_over(ctx, vm);
    }
    // A lower revision means that the platform rebuilt its list, so the next
    // query asks for the whole of it.
    auto const rebuilt = event.reply.revision < workers.list_revision;
    workers.list_revision = rebuilt ? 0 : event.reply.revision;
}

void on_store_failed(context& ctx, store_failed const& event)
{
    auto& workers = ctx.state.workers;
    if (workers.list_query == event.correlation)
    {
        workers.list_query.reset();
    }
}

vm_info const* find(daemon_state const& state, std::string_view worker)
{
    auto const found = state.workers.entries.find(worker);
    return found == state.workers.entries.end() ? nullptr : &found->second.vm;
}

std::span<std::string const> names_of_shard(daemon_state const& state,
                                            shard_id const& shard)
{
    auto const found = state.workers.by_shard.find(shard);
    if (found == state.workers.by_shard.end())
    {
        return {};
    }
    return found->second;
}

std::vector<std::string> of_shard(daemon_state const& state,
                                  shard_id const& shard)
{
    auto const names = names_of_shard(state, shard);
    return {names.begin(), names.end()};
}

time_ms next_timer(daemon_state const& state)
{
    return std::min(state.workers.next_list_query,
                    state.workers.interference.next_decay_at);
}

bool any_gone_since(daemon_state const& state, shard_id const& shard,
                    time_ms since)
{
    auto const& entries = state.workers.entries;
    return std::any_of(entries.begin(), entries.end(), [&](auto const& item) {
        auto const& entry = item.second;
        return entry.shard == shard && entry.vm.state == vm_state::gone
               && entry.gone_at >= since;
    });
}

} // namespace jaydrift::decide::workers
