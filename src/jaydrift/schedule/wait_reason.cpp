#include <jaydrift/schedule/wait_reason.hpp>

#include <array>

namespace jaydrift::schedule {

std::string_view name_of(wait_reason reason)
{
    static constexpr std::array<std::string_view, wait_reasons> names{
        "not_tried",     "not_owner",        "not_stored", "paused",
        "maybe_running", "pass_ended",       "skipped",    "incomplete_gang",
        "no_worker",     "no_usable_worker", "kept_free",  "memory",
        "processors",    "step_limit",       "leftover",   "tail",
        "urgent_reserve"};
    return names.at(static_cast<std::size_t>(reason));
}

} // namespace jaydrift::schedule
