#include <jaydrift/decide/batch.hpp>

#include <jaydrift/decide/context.hpp>

#include <limits>

namespace jaydrift::decide::batch {

void on_timer(context&) {}

void on_job_arrived(context&, job_arrived const&) {}

void on_job_forwarded(context&, peer_called const&, job_request const&) {}

void on_operator_called(context&, operator_called const&, job_request const&) {}

void on_worker_replied(context&, worker_replied const&) {}

void on_worker_failed(context&, worker_failed const&) {}

void on_peer_replied(context&, peer_replied const&) {}

void on_peer_failed(context&, peer_failed const&) {}

void on_durable(context&, shard_id const&, std::uint64_t) {}

void on_store_unavailable(context&, shard_id const&) {}

void on_usage(context&, std::string_view, usage_report const&) {}

void on_journal_lost(context&, shard_id const&) {}

void on_loaded(context&, shard_id const&, std::string_view,
               std::span<std::string const>)
{
}

std::string snapshot(daemon_state const&, shard_id const&) { return {}; }

void on_inventory(context&, shard_id const&, std::string_view,
                  std::span<task_report const>)
{
}

void on_reports(context&, std::string_view, std::span<task_report const>) {}

void on_lease_lapsed(context&, shard_id const&, std::string_view) {}

void on_shard_acquired(context&, shard_id const&) {}

void on_shard_lost(context&, shard_id const&) {}

std::vector<std::string> acknowledged(daemon_state const&, std::string_view)
{
    return {};
}

bool make_room(context&, std::string_view, resources const&) { return {}; }

std::uint32_t running_tasks(daemon_state const&, shard_id const&) { return {}; }

std::uint32_t waiting_tasks(daemon_state const&, shard_id const&) { return {}; }

time_ms next_timer(daemon_state const&)
{
    return time_ms(std::numeric_limits<std::int64_t>::max());
}

} // namespace jaydrift::decide::batch
