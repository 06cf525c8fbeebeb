#include <jaydrift/decide/batch_steps.hpp>

#include <jaydrift/decide/policy.hpp>
#include <jaydrift/decide/workers.hpp>

namespace jaydrift::decide::batch {

namespace {

/// Bounds the size of a record. Names in use are far shorter.
constexpr std::size_t max_name_bytes = 128;
constexpr std::uint32_t max_tasks = 10'000;
constexpr std::int64_t max_run_time_ms = 7LL * 24 * 60 * 60 * 1000;

std::string name_refusal(std::string_view field, std::string_view name)
{
    if (name.empty())
    {
        return std::string(field) + ": must not be empty";
    }
    if (name.size() > max_name_bytes)
    {
        return std::string(field) + ": has more than "
               + std::to_string(max_name_bytes) + " bytes";
    }
    return {};
}

std::string kind_refusal(daemon_state const& state, std::string const& name)
{
    auto const* const kind = policy::find_kind(state, name);
    if (kind == nullptr)
    {
        return "kind: the policy does not name " + name;
    }
    if (kind->priority != task_class::batch
        && kind->priority != task_class::background)
    {
        return "kind: " + name + " is not of class batch or background";
    }
    return {};
}

std::string demand_refusal(resources const& demand)
{
    if (demand.millicores <= 0)
    {
        return "demand.millicores: must be positive";
    }
    if (demand.memory_mb <= 0)
    {
        return "demand.memory_mb: must be positive";
    }
    if (demand.accelerators < 0)
    {
        return "demand.accelerators: must not be negative";
    }
    return {};
}

std::string range_refusal(job_spec const& spec)
{
    if (spec.task_count < 1 || spec.task_count > max_tasks)
    {
        return "task_count: must be from 1 to " + std::to_string(max_tasks);
    }
    if (spec.run_time_ms < 1 || spec.run_time_ms > max_run_time_ms)
    {
        return "run_time_ms: must be from 1 to "
               + std::to_string(max_run_time_ms) + " (7 days)";
    }
    return {};
}

resources scaled(resources const& capacity, std::int64_t percent)
{
    return {capacity.millicores * percent / 100,
            capacity.memory_mb * percent / 100,
            capacity.accelerators * percent / 100};
}

} // namespace

std::string refusal_reason(daemon_state const& state, job_spec const& spec)
{
    for (auto const& reason :
         {name_refusal("id", spec.id), name_refusal("team", spec.team),
          kind_refusal(state, spec.kind), demand_refusal(spec.demand),
          range_refusal(spec)})
    {
        if (!reason.empty())
        {
            return reason;
        }
    }
    return {};
}

std::string unplaceable_reason(daemon_state const& state, shard_id const& shard,
                               batch_job const& job)
{
    auto const quota = quota_of(state, job.spec.team);
    if (quota && job.spec.demand.millicores > *quota)
    {
        return "demand.millicores: more than the quota of team "
               + job.spec.team;
    }
    auto const share = policy::share(state, job.priority);
    bool known = false;
    for (auto const& worker : workers::names_of_shard(state, shard))
    {
        auto const* const vm = workers::find(state, worker);
        if (vm == nullptr)
        {
            continue;
        }
        known = true;
        if (fits(job.spec.demand, scaled(vm->capacity, share)))
        {
            return {};
        }
    }
    // A shard whose workers are not known yet parks no job.
    return known ? "demand: larger than the class's share of every worker of "
                   "the shard"
                 : std::string();
}

} // namespace jaydrift::decide::batch
