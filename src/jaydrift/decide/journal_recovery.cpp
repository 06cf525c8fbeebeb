#include <jaydrift/decide/journal_steps.hpp>

#include <jaydrift/decide/batch.hpp>
#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/field_error.hpp>
#include <jaydrift/decide/journal.hpp>
#include <jaydrift/decide/ownership.hpp>

#include <algorithm>
#include <optional>

namespace jaydrift::decide::journal {

namespace {

/// Hands the records that were read to batch work. The epoch record is durable,
/// so the previous owner can write no more.
void finish_loading(context& ctx, shard_id const& shard, shard_journal& journal)
{
    journal.phase = journal_phase::ready;
    auto const snapshot = std::move(journal.content.snapshot);
    auto const records = std::move(journal.content.records);
    journal.content.snapshot.clear();
    journal.content.records.clear();
    ctx.log(log_level::info, "journal",
            "Loaded the journal of shard " + to_string(shard) + " with "
                + std::to_string(records.size())
                + " records after the snapshot.");
    batch::on_loaded(ctx, shard, snapshot, records);
}

/// Ends the write in progress, which is durable at this revision.
void on_written(context& ctx, shard_id const& shard, shard_journal& journal,
                std::uint64_t revision)
{
    auto const write = std::move(*journal.write);
    journal.write.reset();
    journal.failures = 0;
    journal.retry_at = ctx.now;
    if (write.is_snapshot)
    {
        journal.content.snapshot_slot = write.slot;
        journal.content.snapshot_revision = revision;
        if (journal.phase == journal_phase::fencing)
        {
            start_fence(ctx, shard, journal);
        }
        return;
    }
    journal.content.last_slot = write.slot;
    journal.content.revisions[write.slot % journal_keys] = revision;
    if (journal.phase == journal_phase::fencing)
    {
        return finish_loading(ctx, shard, journal);
    }
    if (!write.records.empty())
    {
        batch::on_durable(ctx, shard, write.records.back().sequence);
    }
}

/// Puts the records of a write back into the queue if the write cannot have
/// taken effect. The epoch record and a write that may have been sent are sent
/// again as they are.
void requeue_write(shard_journal& journal)
{
    if (journal.phase != journal_phase::ready || journal.write->maybe_sent)
    {
        return;
    }
    auto& records = journal.write->records;
    journal.pending.insert(journal.pending.begin(),
                           std::make_move_iterator(records.begin()),
                           std::make_move_iterator(records.end()));
    journal.write.reset();
}

void on_loaded(context& ctx, shard_id const& shard, shard_journal& journal,
               store_reply const& reply)
{
    if (reply.outcome != store_outcome::ok)
    {
        return back_off(ctx, journal);
    }
    try
    {
        journal.content = decode_content(shard, reply.entries);
    }
    catch (field_error const& error)
    {
        ctx.log(log_level::error, "journal",
                "Cannot read the journal " + prefix_of(shard) + ": "
                    + error.what()
                    + "; no batch record of the shard is written until it can "
                      "be read.");
        return back_off(ctx, journal);
    }
    if (journal.content.epoch > journal.epoch)
    {
        return on_superseded(ctx, shard, journal.content.epoch);
    }
    journal.failures = 0;
    journal.retry_at = ctx.now;
    start_fence(ctx, shard, journal);
}

/// Handles a value of another write that is under the key of the write in
/// progress.
void on_other_value(context& ctx, shard_id const& shard, shard_journal& journal,
                    store_entry const& entry)
{
    auto const epoch = epoch_of(entry.value);
    auto& write = *journal.write;
    if (epoch <= journal.epoch && journal.phase == journal_phase::fencing)
    {
        // A write of the previous owner arrived before the epoch record.
        journal.write.reset();
        journal.phase = journal_phase::reading;
        journal.retry_at = ctx.now;
    }
    else if (epoch <= journal.epoch && write.is_snapshot)
    {
        // A late snapshot of the previous owner covers fewer slots than this
        // one, so this one replaces it.
        write.expected_revision = entry.revision;
        write.unresolved = false;
    }
    else
    {
        on_superseded(ctx, shard, epoch);
    }
}

/// Handles a read of the key of a write whose result was not known.
void on_read_back(context& ctx, shard_id const& shard, shard_journal& journal,
                  store_reply const& reply)
{
    if (reply.outcome != store_outcome::ok)
    {
        return back_off(ctx, journal);
    }
    auto& write = *journal.write;
    auto const entry =
        std::find_if(reply.entries.begin(), reply.entries.end(),
                     [&](auto const& found) { return found.key == write.key; });
    if (entry != reply.entries.end() && entry->token == write.token)
    {
        return on_written(ctx, shard, journal, entry->revision);
    }
    auto const revision = entry == reply.entries.end() ? 0 : entry->revision;
    if (revision == write.expected_revision)
    {
        // The write has not taken effect. It is safe to send it again with the
        // same token, even if the first one is still on its way.
        write.unresolved = false;
        return;
    }
    if (entry == reply.entries.end())
    {
        return on_superseded(ctx, shard, journal.epoch);
    }
    try
    {
        on_other_value(ctx, shard, journal, *entry);
    }
    catch (field_error const& error)
    {
        ctx.log(log_level::error, "journal",
                "Cannot read the journal's key " + entry->key + ": "
                    + error.what()
                    + "; no batch record of the shard is written until it can "
                      "be read.");
        back_off(ctx, journal);
    }
}

void on_put(context& ctx, shard_id const& shard, shard_journal& journal,
            store_reply const& reply)
{
    switch (reply.outcome)
    {
    case store_outcome::ok:
        return on_written(ctx, shard, journal, reply.revision);
    case store_outcome::conflict:
        journal.write->unresolved = true;
        journal.retry_at = ctx.now;
        return;
    case store_outcome::too_large:
        ctx.log(log_level::error, "journal",
                "The store refused " + journal.write->key + " with "
                    + std::to_string(journal.write->value.size())
                    + " bytes as too large.");
        break;
    default:
        break;
    }
    requeue_write(journal);
    back_off(ctx, journal);
}

/// Ends a call and returns its journal, or null if the journal no longer waits
/// for it.
shard_journal* take_call(context& ctx, std::uint64_t correlation,
                         shard_id& shard)
{
    auto const call = ctx.state.journal.calls.extract(correlation);
    if (call.empty())
    {
        return nullptr;
    }
    shard = call.mapped();
    auto const found = ctx.state.journal.shards.find(shard);
    if (found == ctx.state.journal.shards.end()
        || found->second.call != correlation)
    {
        return nullptr;
    }
    found->second.call = 0;
    return &found->second;
}

} // namespace

void on_store_replied(context& ctx, store_replied const& event)
{
    shard_id shard;
    auto* const journal = take_call(ctx, event.correlation, shard);
    if (journal == nullptr)
    {
        return;
    }
    if (journal->phase == journal_phase::reading)
    {
        return on_loaded(ctx, shard, *journal, event.reply);
    }
    if (journal->write->unresolved)
    {
        return on_read_back(ctx, shard, *journal, event.reply);
    }
    on_put(ctx, shard, *journal, event.reply);
}

void on_store_failed(context& ctx, store_failed const& event)
{
    shard_id shard;
    auto* const journal = take_call(ctx, event.correlation, shard);
    if (journal == nullptr)
    {
        return;
    }
    back_off(ctx, *journal);
    if (!journal->write || journal->write->unresolved)
    {
        return;
    }
    if (!event.never_sent)
    {
        journal->write->maybe_sent = true;
        journal->write->unresolved = true;
        return;
    }
    requeue_write(*journal);
    batch::on_store_unavailable(ctx, shard);
}

} // namespace jaydrift::decide::journal
