#include <jaydrift/decide/journal.hpp>

#include <jaydrift/decide/context.hpp>

#include <limits>

namespace jaydrift::decide::journal {

void on_timer(context&) {}

void on_store_replied(context&, store_replied const&) {}

void on_store_failed(context&, store_failed const&) {}

void load(context&, shard_id const&, std::uint64_t) {}

void drop(context&, shard_id const&) {}

std::uint64_t append(context&, shard_id const&, std::string_view) { return {}; }

bool ready(daemon_state const&, shard_id const&) { return {}; }

time_ms next_timer(daemon_state const&)
{
    return time_ms(std::numeric_limits<std::int64_t>::max());
}

} // namespace jaydrift::decide::journal
