#include <jaydrift/schedule/fencing_tokens.hpp>

#include <jaydrift/schedule/assignments.hpp>
#include <jaydrift/schedule/record_log.hpp>
#include <jaydrift/schedule/shard_context.hpp>

#include <algorithm>

namespace jaydrift::schedule::fencing_tokens {

std::uint64_t of(shard_context const& ctx, worker_state const& worker)
{
    return std::max(assignments::fencing_token(ctx, worker.entry.id),
                    worker.token);
}

bool is_raised(shard_context const& ctx, worker_state const& worker)
{
    return worker.token > assignments::fencing_token(ctx, worker.entry.id);
}

void raise(shard_context& ctx, worker_state& worker)
{
    if (!worker.lease_granted)
    {
        return;
    }
    // A worker that is being given away must not get a token above the revision
    // of its assignment.
    auto const& transfer = ctx.shard.transfer;
    auto const given_away = transfer && transfer->worker == worker.entry.id;
    auto const next = of(ctx, worker) + 1;
    if (given_away || next > ctx.shard.ownership.written_revision)
    {
        if (!worker.token_due)
        {
            // The reply to the next write tells a higher revision.
            record_log::fleet_changed(ctx);
        }
        worker.token_due = true;
        return;
    }
    worker.token = next;
    worker.token_due = false;
    worker.lease_granted = false;
}

void begin(shard_context& ctx, worker_state& worker)
{
    auto const floor = ctx.shard.ownership.forgotten_token;
    if (floor > 0 && floor >= of(ctx, worker))
    {
        worker.token = floor;
        worker.lease_granted = true;
        raise(ctx, worker);
    }
}

void forget(shard_context& ctx, worker_state const& worker)
{
    auto& forgotten = ctx.shard.ownership.forgotten_token;
    forgotten = std::max(forgotten, of(ctx, worker));
}

void note_write(shard_context& ctx, std::uint64_t revision)
{
    auto& written = ctx.shard.ownership.written_revision;
    written = std::max(written, revision);
}

void tick(shard_context& ctx, worker_state& worker)
{
    if (worker.token_due)
    {
        raise(ctx, worker);
    }
}

} // namespace jaydrift::schedule::fencing_tokens
