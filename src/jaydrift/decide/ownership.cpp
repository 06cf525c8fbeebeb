#include <jaydrift/decide/ownership.hpp>

#include <jaydrift/decide/context.hpp>

#include <limits>

namespace jaydrift::decide::ownership {

void on_timer(context&) {}

void on_store_replied(context&, store_replied const&) {}

void on_store_failed(context&, store_failed const&) {}

void on_worker_replied(context&, worker_replied const&) {}

void on_worker_failed(context&, worker_failed const&) {}

void on_peer_replied(context&, peer_replied const&) {}

void on_peer_failed(context&, peer_failed const&) {}

void on_hand_over(context&, peer_called const&, hand_over_request const&) {}

void on_stale_epoch(context&, shard_id const&, std::uint64_t) {}

void start_drain(context&) {}

bool drained(daemon_state const&) { return {}; }

std::vector<shard_id> all_shards(daemon_state const&) { return {}; }

shard_id shard_of_key(daemon_state const&, std::string_view, std::string_view)
{
    return {};
}

shard_id shard_of_worker(daemon_state const&, std::string_view,
                         std::string_view)
{
    return {};
}

std::optional<std::string> owner_of(daemon_state const&, shard_id const&)
{
    return {};
}

bool serving(daemon_state const&, shard_id const&, time_ms) { return {}; }

ownership_term term(daemon_state const&, shard_id const&) { return {}; }

bool may_start(daemon_state const&, std::string_view, time_ms) { return {}; }

time_ms start_deadline(daemon_state const&, std::string_view) { return {}; }

time_ms acquired_at(daemon_state const&, shard_id const&) { return {}; }

bool inventory_complete(daemon_state const&, shard_id const&) { return {}; }

std::vector<owned_shard> owned(daemon_state const&, time_ms) { return {}; }

std::vector<shard_status> status(daemon_state const&, time_ms) { return {}; }

time_ms next_timer(daemon_state const&)
{
    return time_ms(std::numeric_limits<std::int64_t>::max());
}

} // namespace jaydrift::decide::ownership
