#include <jaydrift/schedule/worker_status.hpp>

#include <array>
#include <cstddef>

namespace jaydrift::schedule {

std::string_view name_of(worker_status status)
{
    static constexpr std::array<std::string_view, worker_statuses> names{
        "ok",       "stale_token", "old_run",
        "expired",  "no_room",     "no_advice_ticket",
        "invalid",  "unavailable", "wrong_instance",
        "not_sent", "lost"};
    return names.at(static_cast<std::size_t>(status));
}

} // namespace jaydrift::schedule
