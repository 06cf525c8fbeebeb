#include <jaydrift/decide/membership.hpp>

#include <jaydrift/decide/context.hpp>

#include <limits>

namespace jaydrift::decide::membership {

void on_timer(context&) {}

void on_heartbeat(context&, peer_called const&, heartbeat const&) {}

void on_peer_replied(context&, peer_replied const&) {}

void on_peer_failed(context&, peer_failed const&) {}

void on_store_replied(context&, store_replied const&) {}

void on_store_failed(context&, store_failed const&) {}

std::optional<member_info> find(daemon_state const&, std::string_view)
{
    return {};
}

std::vector<member_info> live_members(daemon_state const&, time_ms)
{
    return {};
}

bool live(daemon_state const&, std::string_view, time_ms) { return {}; }

heartbeat const* last_heartbeat(daemon_state const&, std::string_view)
{
    return {};
}

bool store_available(daemon_state const&, time_ms) { return {}; }

std::vector<member_status> status(daemon_state const&, time_ms) { return {}; }

time_ms next_timer(daemon_state const&)
{
    return time_ms(std::numeric_limits<std::int64_t>::max());
}

} // namespace jaydrift::decide::membership
