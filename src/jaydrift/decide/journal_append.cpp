#include <jaydrift/decide/journal_steps.hpp>

#include <jaydrift/core/put_request.hpp>
#include <jaydrift/core/read_request.hpp>
#include <jaydrift/decide/batch.hpp>
#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/journal.hpp>

#include <algorithm>
#include <limits>

namespace jaydrift::decide::journal {

namespace {

/// Upper estimate of what the length and the separators of a record add to it.
constexpr std::size_t record_overhead_bytes = 16;

/// Sends a call to the store; at most one is in flight.
void send_request(context& ctx, shard_id const& shard, shard_journal& journal,
                  store_request request)
{
    journal.call = ctx.ask_store(reducer_module::journal, std::move(request));
    ctx.state.journal.calls.emplace(journal.call, shard);
}

bool snapshot_due(shard_journal const& journal)
{
    return journal.content.last_slot - journal.content.snapshot_slot
           >= snapshot_after;
}

/// Returns a token that no other write has.
std::string new_token(context& ctx, journal_write const& write)
{
    return ctx.state.settings.self.daemon + '/' + write.key + '/'
           + std::to_string(write.slot) + '/'
           + std::to_string(ctx.state.random.next());
}

void set_write(context& ctx, shard_journal& journal, journal_write write)
{
    write.token = new_token(ctx, write);
    journal.write = std::move(write);
}

void prepare_snapshot(context& ctx, shard_id const& shard,
                      shard_journal& journal, std::string value)
{
    journal_write write;
    write.key = snapshot_key(shard);
    write.value = std::move(value);
    write.expected_revision = journal.content.snapshot_revision;
    write.slot = journal.content.last_slot;
    write.is_snapshot = true;
    set_write(ctx, journal, std::move(write));
}

void prepare_slot(context& ctx, shard_id const& shard, shard_journal& journal,
                  std::vector<journal_record> records)
{
    journal_write write;
    write.slot = journal.content.last_slot + 1;
    write.key = slot_key(shard, write.slot);
    write.value = slot_value(write.slot, journal.epoch, records);
    write.expected_revision =
        journal.content.revisions[write.slot % journal_keys];
    write.records = std::move(records);
    set_write(ctx, journal, std::move(write));
}

/// Takes the pending records that fit into one slot, but at least one.
std::vector<journal_record> take_commit_group(shard_journal& journal)
{
    std::vector<journal_record> group;
    std::size_t bytes = 0;
    while (!journal.pending.empty())
    {
        bytes += journal.pending.front().text.size() + record_overhead_bytes;
        if (!group.empty() && bytes > max_group_bytes)
        {
            break;
        }
        group.push_back(std::move(journal.pending.front()));
        journal.pending.pop_front();
    }
    return group;
}

void send_write(context& ctx, shard_id const& shard, shard_journal& journal)
{
    auto const& write = *journal.write;
    journal.write_at = ctx.now + write_interval;
    send_request(ctx, shard, journal,
                 put_request{write.key, write.value, write.expected_revision,
                             write.token, 0});
}

} // namespace

void start_fence(context& ctx, shard_id const& shard, shard_journal& journal)
{
    auto const& content = journal.content;
    journal.phase = journal_phase::fencing;
    if (content.last_slot - content.snapshot_slot >= journal_keys)
    {
        prepare_snapshot(ctx, shard, journal,
                         snapshot_value(content.last_slot, journal.epoch,
                                        content.snapshot, content.records));
        return;
    }
    prepare_slot(ctx, shard, journal, {});
}

void advance(context& ctx, shard_id const& shard, shard_journal& journal)
{
    if (journal.phase == journal_phase::reading)
    {
        return send_request(ctx, shard, journal,
                            read_request{prefix_of(shard)});
    }
    if (journal.write && journal.write->unresolved)
    {
        // Only the key of the write is read, because traffic between regions
        // is charged by the byte.
        return send_request(ctx, shard, journal,
                            read_request{journal.write->key});
    }
    if (!journal.write && snapshot_due(journal))
    {
        prepare_snapshot(ctx, shard, journal,
                         snapshot_value(journal.content.last_slot,
                                        journal.epoch,
                                        batch::snapshot(ctx.state, shard), {}));
    }
    else if (!journal.write)
    {
        prepare_slot(ctx, shard, journal, take_commit_group(journal));
    }
    send_write(ctx, shard, journal);
}

time_ms due(shard_journal const& journal)
{
    if (journal.call != 0)
    {
        return time_ms(std::numeric_limits<std::int64_t>::max());
    }
    if (journal.phase == journal_phase::reading
        || (journal.write && journal.write->unresolved))
    {
        return journal.retry_at;
    }
    auto const allowed = std::max(journal.retry_at, journal.write_at);
    if (journal.write || snapshot_due(journal))
    {
        return allowed;
    }
    return journal.pending.empty()
               ? time_ms(std::numeric_limits<std::int64_t>::max())
               : std::max(allowed, journal.commit_at);
}

std::uint64_t append(context& ctx, shard_id const& shard,
                     std::string_view record, time_ms max_delay)
{
    auto const found = ctx.state.journal.shards.find(shard);
    if (found == ctx.state.journal.shards.end())
    {
        return 0;
    }
    auto& journal = found->second;
    auto const sequence = ++ctx.state.journal.last_sequence;
    auto const commit_at = ctx.now + max_delay;
    journal.commit_at = journal.pending.empty()
                            ? commit_at
                            : std::min(journal.commit_at, commit_at);
    journal.pending.push_back({sequence, std::string(record)});
    return sequence;
}

bool withdraw(context& ctx, shard_id const& shard, std::uint64_t sequence)
{
    auto const found = ctx.state.journal.shards.find(shard);
    if (found == ctx.state.journal.shards.end())
    {
        return false;
    }
    return std::erase_if(
               found->second.pending,
               [&](auto const& record) { return record.sequence == sequence; })
           > 0;
}

} // namespace jaydrift::decide::journal
