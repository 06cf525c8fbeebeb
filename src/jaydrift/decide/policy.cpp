#include <jaydrift/decide/policy.hpp>

#include <jaydrift/decide/context.hpp>

#include <limits>

namespace jaydrift::decide::policy {

void on_timer(context&) {}

void on_operator_called(context&, operator_called const&) {}

void on_policy_update(context&, peer_called const&, policy_update const&) {}

void on_store_replied(context&, store_replied const&) {}

void on_store_failed(context&, store_failed const&) {}

void on_peer_replied(context&, peer_replied const&) {}

void on_peer_failed(context&, peer_failed const&) {}

void on_early_closed(context&, std::span<std::string const>) {}

std::uint64_t version(daemon_state const&) { return {}; }

policy_document const& current(daemon_state const&)
{
    static policy_document const none;
    return none;
}

bool zone_open(daemon_state const&, std::string_view) { return {}; }

kind_policy const* find_kind(daemon_state const&, std::string_view)
{
    return {};
}

std::uint32_t share(daemon_state const&, task_class) { return {}; }

std::vector<std::string> early_closed(daemon_state const&) { return {}; }

time_ms next_timer(daemon_state const&)
{
    return time_ms(std::numeric_limits<std::int64_t>::max());
}

} // namespace jaydrift::decide::policy
