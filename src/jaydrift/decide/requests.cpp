#include <jaydrift/decide/requests.hpp>

#include <jaydrift/decide/context.hpp>

#include <limits>

namespace jaydrift::decide::requests {

void on_timer(context&) {}

void on_request_arrived(context&, request_arrived const&) {}

void on_execute(context&, peer_called const&, execute_request const&) {}

void on_query(context&, peer_called const&, query_request const&) {}

void on_worker_replied(context&, worker_replied const&) {}

void on_worker_failed(context&, worker_failed const&) {}

void on_peer_replied(context&, peer_replied const&) {}

void on_peer_failed(context&, peer_failed const&) {}

void on_inventory(context&, shard_id const&, std::string_view,
                  std::span<task_report const>)
{
}

void on_handed_over(context&, shard_id const&, std::span<request_record const>)
{
}

void on_shard_acquired(context&, shard_id const&) {}

void on_shard_lost(context&, shard_id const&) {}

std::vector<request_record> records(daemon_state const&, shard_id const&)
{
    return {};
}

std::uint32_t open_requests(daemon_state const&, shard_id const&) { return {}; }

bool idle(daemon_state const&) { return {}; }

time_ms next_timer(daemon_state const&)
{
    return time_ms(std::numeric_limits<std::int64_t>::max());
}

} // namespace jaydrift::decide::requests
