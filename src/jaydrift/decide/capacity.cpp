#include <jaydrift/decide/workers.hpp>

#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/policy.hpp>

#include <jaydrift/decide/interference.hpp>

#include <algorithm>

namespace jaydrift::decide::workers {

namespace {

/// A reply whose worker clock is behind the last one by less than this arrived
/// out of order; a larger step back means that the VM's clock was set.
constexpr time_ms reordering_window{30000};

template<class Operation>
resources combine(resources const& left, resources const& right,
                  Operation operation)
{
    return {operation(left.millicores, right.millicores),
            operation(left.memory_mb, right.memory_mb),
            operation(left.accelerators, right.accelerators)};
}

resources at_least_zero(resources const& value)
{
    return combine(value, {}, [](auto first, auto second) {
        return std::max(first, second);
    });
}

resources minimum(resources const& left, resources const& right)
{
    return combine(left, right, [](auto first, auto second) {
        return std::min(first, second);
    });
}

resources percentage(resources const& total, std::int64_t percent)
{
    return {total.millicores * percent / 100, total.memory_mb * percent / 100,
            total.accelerators * percent / 100};
}

resources capacity(worker_entry const& entry)
{
    return entry.capacity == resources{} ? entry.vm.capacity : entry.capacity;
}

resources& reserved_for_class(worker_entry& entry, task_class priority)
{
    return entry.reserved_by_class.at(static_cast<std::size_t>(priority));
}

void erase(worker_entry& entry, std::string_view task)
{
    auto const found = entry.reservations.find(task);
    if (found == entry.reservations.end())
    {
        return;
    }
    auto const& reserved = found->second;
    entry.reserved -= reserved.demand;
    reserved_for_class(entry, reserved.priority) -= reserved.demand;
    auto const kind = entry.reservations_by_kind.find(reserved.kind);
    if (kind != entry.reservations_by_kind.end() && --kind->second == 0)
    {
        entry.reservations_by_kind.erase(kind);
    }
    entry.reservations.erase(found);
}

void insert(worker_entry& entry, task_spec const& task, bool unclaimed)
{
    erase(entry, task.id);
    entry.reserved += task.demand;
    reserved_for_class(entry, task.priority) += task.demand;
    ++entry.reservations_by_kind[task.kind];
    entry.reservations.emplace(
        task.id, reservation{task.kind, task.priority, task.demand, unclaimed});
}

/// Drops the unclaimed reservations. They are from an older inventory, and a
/// new epoch comes with a new inventory.
void drop_unclaimed(worker_entry& entry)
{
    std::vector<std::string> tasks;
    for (auto const& [task, reserved] : entry.reservations)
    {
        if (reserved.unclaimed)
        {
            tasks.push_back(task);
        }
    }
    for (auto const& task : tasks)
    {
        erase(entry, task);
    }
}

/// Reserves room for the tasks of an inventory that no module has claimed, and
/// drops these reservations when the worker reports that the tasks ended.
void update_unclaimed(worker_entry& entry, std::span<task_report const> tasks)
{
    for (auto const& report : tasks)
    {
        auto const found = entry.reservations.find(report.task.id);
        auto const reserved = found != entry.reservations.end();
        if (report.state == task_state::running)
        {
            if (!reserved)
            {
                insert(entry, report.task, true);
            }
        }
        else if (reserved && found->second.unclaimed)
        {
            erase(entry, report.task.id);
        }
    }
}

std::int64_t total_millicores(usage_report const& usage)
{
    std::int64_t sum = 0;
    for (auto const& task : usage.tasks)
    {
        sum += task.millicores;
    }
    return sum;
}

bool is_outdated(worker_entry const& entry, worker_reply const& reply)
{
    return reply.worker_clock < entry.reported_at
           && entry.reported_at < reply.worker_clock + reordering_window;
}

} // namespace

void on_reply(context& ctx, std::string_view worker, worker_reply const& reply)
{
    auto const found = ctx.state.workers.entries.find(worker);
    if (found == ctx.state.workers.entries.end()
        || is_outdated(found->second, reply))
    {
        return;
    }
    auto& entry = found->second;
    entry.reported_at = reply.worker_clock;
    entry.leaving = reply.leaving;
    if (reply.capacity != resources{})
    {
        entry.capacity = reply.capacity;
    }
    if (reply.epoch > entry.epoch)
    {
        drop_unclaimed(entry);
        entry.epoch = reply.epoch;
    }
    update_unclaimed(entry, reply.tasks);
    entry.unreserved_use = at_least_zero(reply.used - entry.reserved);
    if (reply.usage.generation > entry.usage_generation)
    {
        entry.usage_generation = reply.usage.generation;
        entry.measured_millicores = total_millicores(reply.usage);
        learn_interference(ctx.state.workers.interference, reply.usage);
    }
}

resources available(daemon_state const& state, std::string_view worker,
                    task_class priority)
{
    auto const found = state.workers.entries.find(worker);
    if (found == state.workers.entries.end())
    {
        return {};
    }
    auto const& entry = found->second;
    auto const total = capacity(entry);
    auto const held =
        entry.reserved_by_class.at(static_cast<std::size_t>(priority));
    auto const in_share =
        percentage(total, policy::share(state, priority)) - held;
    auto const in_total = total - entry.reserved - entry.unreserved_use;
    return at_least_zero(minimum(in_share, in_total));
}

void reserve(context& ctx, std::string_view worker, task_spec const& task)
{
    auto const found = ctx.state.workers.entries.find(worker);
    if (found == ctx.state.workers.entries.end())
    {
        return;
    }
    auto& entry = found->second;
    insert(entry, task, false);
    auto& starts = entry.starts;
    if (starts.probation && starts.probe_task.empty()
        && ctx.now >= *starts.quarantined_until)
    {
        starts.probe_task = task.id;
    }
    auto const urgent_or_service = task.priority == task_class::urgent
                                   || task.priority == task_class::service;
    auto& breaker = entry.breaker;
    if (urgent_or_service && breaker.open && breaker.probe_task.empty()
        && ctx.now >= breaker.probe_at)
    {
        breaker.probe_task = task.id;
    }
}

void release(context& ctx, std::string_view worker, std::string_view task)
{
    auto const found = ctx.state.workers.entries.find(worker);
    if (found == ctx.state.workers.entries.end())
    {
        return;
    }
    auto& entry = found->second;
    erase(entry, task);
    if (entry.starts.probe_task == task)
    {
        entry.starts.probe_task.clear();
    }
    if (entry.breaker.probe_task == task)
    {
        entry.breaker.probe_task.clear();
    }
}

std::int64_t load(daemon_state const& state, std::string_view worker)
{
    auto const found = state.workers.entries.find(worker);
    if (found == state.workers.entries.end())
    {
        return 0;
    }
    auto const& entry = found->second;
    auto const total = std::max<std::int64_t>(1, capacity(entry).millicores);
    auto const in_use =
        entry.reserved.millicores + entry.unreserved_use.millicores;
    return std::max(in_use, entry.measured_millicores) * 1000 / total;
}

} // namespace jaydrift::decide::workers
