#include <jaydrift/decide/batch_steps.hpp>

#include <algorithm>
#include <charconv>

namespace jaydrift::decide {

std::string task_id(std::string_view job, std::uint32_t index)
{
    return std::string(job) + '/' + std::to_string(index);
}

std::optional<task_ref> parse_task_id(shard_id const& shard,
                                      std::string_view id)
{
    auto const slash = id.rfind('/');
    if (slash == std::string_view::npos)
    {
        return std::nullopt;
    }
    task_ref ref{shard, std::string(id.substr(0, slash)), 0};
    auto const* const end = id.data() + id.size();
    auto const [read, error] =
        std::from_chars(id.data() + slash + 1, end, ref.index);
    if (error != std::errc() || read != end)
    {
        return std::nullopt;
    }
    return ref;
}

namespace batch {

shard_batch* find_shard(context& ctx, shard_id const& shard)
{
    auto const found = ctx.state.batch.shards.find(shard);
    return found == ctx.state.batch.shards.end() ? nullptr : &found->second;
}

batch_job* find_job(shard_batch& work, std::string_view id)
{
    auto const found = work.table.jobs.find(id);
    return found == work.table.jobs.end() ? nullptr : &found->second;
}

found_task find_task(shard_batch& work, std::string const& job,
                     std::uint32_t index)
{
    auto* const found = find_job(work, job);
    if (found == nullptr || index >= found->tasks.size())
    {
        return {};
    }
    return {found, &found->tasks[index]};
}

found_task find_task(context& ctx, task_ref const& ref)
{
    auto* const work = find_shard(ctx, ref.shard);
    return work == nullptr ? found_task()
                           : find_task(*work, ref.job, ref.index);
}

void wake(shard_step const& at, time_ms when)
{
    at.work.wake_at = std::min(at.work.wake_at, when);
}

} // namespace batch

} // namespace jaydrift::decide
