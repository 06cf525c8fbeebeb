#include <jaydrift/decide/record_writes.hpp>

#include <jaydrift/core/store_reply.hpp>
#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/shard_record_text.hpp>

#include <algorithm>

namespace jaydrift::decide::record_writes {

namespace {

constexpr time_ms retry_delay{1000};

/// Sends the write, or the read that shows its result.
void send(context& ctx, shard_view& view)
{
    auto& write = *view.write;
    auto const key = shard_record_key(view.shard);
    if (write.reading)
    {
        write.correlation =
            ctx.ask_store(reducer_module::ownership, read_request{key});
        return;
    }
    write.correlation =
        ctx.ask_store(reducer_module::ownership,
                      put_request{key, encode_shard_record(write.value),
                                  write.expected_revision, write.token, 0});
}

outcome schedule_retry(context& ctx, shard_view& view)
{
    view.write->retry_at = ctx.now + retry_delay;
    return outcome::unknown;
}

/// Adopts the written record and ends the write.
outcome complete(shard_view& view, std::uint64_t revision)
{
    view.record = view.write->value;
    view.revision = revision;
    view.highest_epoch = std::max(view.highest_epoch, view.record.epoch);
    view.write.reset();
    return outcome::written;
}

/// Finds the result of a write from the record that was read back.
outcome resolve(context& ctx, shard_view& view, store_reply const& reply)
{
    auto& write = *view.write;
    auto const entry = std::find_if(
        reply.entries.begin(), reply.entries.end(),
        [key = shard_record_key(view.shard)](store_entry const& found) {
            return found.key == key;
        });
    if (entry != reply.entries.end())
    {
        if (entry->token == write.token)
        {
            return complete(view, entry->revision);
        }
        adopt_if_newer(view, *entry);
    }
    auto const revision = entry == reply.entries.end() ? 0 : entry->revision;
    if (revision == write.expected_revision)
    {
        // The write has not taken effect so far. It is sent again with the same
        // expected revision, so it takes effect at most once.
        write.reading = false;
        send(ctx, view);
        return outcome::in_progress;
    }
    view.write.reset();
    return outcome::superseded;
}

} // namespace

void start(context& ctx, shard_view& view, shard_record const& value)
{
    auto const& self = ctx.state.settings.self.daemon;
    auto const token = self + '/' + to_string(view.shard) + '/'
                       + std::to_string(value.epoch) + '/'
                       + std::to_string(value.generation) + '/'
                       + std::to_string(ctx.state.random.next());
    view.write = record_write{value, token, view.revision, 0, false, {}};
    send(ctx, view);
}

void advance(context& ctx, shard_view& view)
{
    if (view.write && view.write->correlation == 0
        && ctx.now >= view.write->retry_at)
    {
        send(ctx, view);
    }
}

outcome on_replied(context& ctx, shard_view& view, store_reply const& reply)
{
    auto& write = *view.write;
    write.correlation = 0;
    if (reply.outcome == store_outcome::overloaded)
    {
        return schedule_retry(ctx, view);
    }
    if (write.reading)
    {
        return resolve(ctx, view, reply);
    }
    if (reply.outcome == store_outcome::ok)
    {
        return complete(view, reply.revision);
    }
    // The conflict may be with an earlier attempt of this same write.
    write.reading = true;
    send(ctx, view);
    return outcome::in_progress;
}

outcome on_failed(context& ctx, shard_view& view, bool never_sent)
{
    auto& write = *view.write;
    write.correlation = 0;
    if (never_sent || write.reading)
    {
        return schedule_retry(ctx, view);
    }
    write.reading = true;
    send(ctx, view);
    return outcome::unknown;
}

bool adopt_if_newer(shard_view& view, store_entry const& entry)
{
    auto record = decode_shard_record(entry.value);
    if (!record || record->shard != view.shard
        || entry.revision <= view.revision)
    {
        return false;
    }
    view.record = std::move(*record);
    view.revision = entry.revision;
    view.highest_epoch = std::max(view.highest_epoch, view.record.epoch);
    return true;
}

} // namespace jaydrift::decide::record_writes
