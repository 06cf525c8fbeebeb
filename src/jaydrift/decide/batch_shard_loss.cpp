#include <jaydrift/decide/batch_steps.hpp>

#include <jaydrift/decide/batch.hpp>
#include <jaydrift/decide/journal.hpp>

#include <limits>

namespace jaydrift::decide::batch {

void release_shard(context& ctx, shard_id const& shard)
{
    auto& state = ctx.state.batch;
    auto const found = state.shards.find(shard);
    if (found == state.shards.end())
    {
        return;
    }
    shard_scope const scope{ctx, shard, found->second};
    for (auto& [id, job] : found->second.table.jobs)
    {
        while (!job.placed.empty())
        {
            unplace(scope, job, *job.placed.begin());
        }
    }
    for (auto& [name, worker] : state.workers)
    {
        std::erase_if(worker.ended_tasks, [&](auto const& entry) {
            return entry.second.shard == shard;
        });
    }
    std::erase_if(state.calls, [&](auto const& entry) {
        return entry.second.task.shard == shard;
    });
    for (auto const& [sequence, entry] : found->second.pending)
    {
        answer(ctx, entry.waiters,
               make_reply(call_status::pending,
                          "shard " + to_string(shard)
                              + " changed its owner before the record was "
                                "known to be durable; ask again with the "
                                "same ID"));
    }
    state.shards.erase(shard);
}

void on_shard_lost(context& ctx, shard_id const& shard)
{
    if (auto* const work = find_shard(ctx, shard))
    {
        refuse_unsent({ctx, shard, *work},
                      time_ms(std::numeric_limits<std::int64_t>::max()),
                      "shard " + to_string(shard)
                          + " changes its owner; nothing was written, try "
                            "again");
    }
    release_shard(ctx, shard);
    journal::drop(ctx, shard);
}

void on_journal_lost(context& ctx, shard_id const& shard)
{
    release_shard(ctx, shard);
}

} // namespace jaydrift::decide::batch
