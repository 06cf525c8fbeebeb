#include <jaydrift/decide/journal.hpp>

#include <jaydrift/decide/journal_steps.hpp>

#include <jaydrift/decide/batch.hpp>
#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/ownership.hpp>

#include <algorithm>
#include <limits>

namespace jaydrift::decide::journal {

void on_timer(context& ctx)
{
    for (auto& [shard, journal] : ctx.state.journal.shards)
    {
        if (due(journal) <= ctx.now)
        {
            advance(ctx, shard, journal);
        }
    }
}

void back_off(context& ctx, shard_journal& journal)
{
    // The delay doubles from 250 ms to 8 s. The jitter keeps the owners of many
    // shards from calling a store that has just come back all at once.
    auto const longest_ms = 250U << std::min(journal.failures, 5U);
    ++journal.failures;
    auto const delay_ms =
        longest_ms / 2 + ctx.state.random.below(longest_ms / 2 + 1);
    journal.retry_at = ctx.now + time_ms(static_cast<std::int64_t>(delay_ms));
}

void on_superseded(context& ctx, shard_id const& shard, std::uint64_t epoch)
{
    ctx.log(log_level::warning, "journal",
            "Lost the journal of shard " + to_string(shard)
                + ": a key of it was removed or written by another owner, "
                  "under epoch "
                + std::to_string(epoch) + '.');
    ctx.state.journal.shards.erase(shard);
    batch::on_journal_lost(ctx, shard);
    ownership::on_epoch_seen(ctx, shard, epoch);
}

void load(context& ctx, shard_id const& shard, std::uint64_t epoch)
{
    auto const [entry, added] = ctx.state.journal.shards.try_emplace(shard);
    if (!added && entry->second.epoch == epoch)
    {
        return;
    }
    entry->second = {};
    entry->second.epoch = epoch;
    entry->second.retry_at = ctx.now;
    entry->second.write_at = ctx.now;
}

void drop(context& ctx, shard_id const& shard)
{
    ctx.state.journal.shards.erase(shard);
}

bool ready(daemon_state const& state, shard_id const& shard)
{
    auto const found = state.journal.shards.find(shard);
    return found != state.journal.shards.end()
           && found->second.phase == journal_phase::ready;
}

time_ms next_timer(daemon_state const& state)
{
    time_ms next(std::numeric_limits<std::int64_t>::max());
    for (auto const& [shard, journal] : state.journal.shards)
    {
        next = std::min(next, due(journal));
    }
    return next;
}

} // namespace jaydrift::decide::journal
