#include <jaydrift/decide/workers.hpp>

#include <jaydrift/decide/context.hpp>

#include <limits>

namespace jaydrift::decide::workers {

void on_timer(context&) {}

void on_store_replied(context&, store_replied const&) {}

void on_store_failed(context&, store_failed const&) {}

void on_reply(context&, std::string_view, worker_reply const&) {}

vm_info const* find(daemon_state const&, std::string_view) { return {}; }

std::vector<std::string> of_shard(daemon_state const&, shard_id const&)
{
    return {};
}

bool usable(daemon_state const&, std::string_view, time_ms) { return {}; }

resources available(daemon_state const&, std::string_view, task_class)
{
    return {};
}

void reserve(context&, std::string_view, task_spec const&) {}

void release(context&, std::string_view, std::string_view) {}

void record_result(context&, std::string_view, std::string_view, bool) {}

std::int64_t expected_slowdown(daemon_state const&, std::string_view,
                               std::string_view)
{
    return {};
}

time_ms next_timer(daemon_state const&)
{
    return time_ms(std::numeric_limits<std::int64_t>::max());
}

} // namespace jaydrift::decide::workers
