#ifndef JAYDRIFT_DECIDE_TASK_REF_HPP
#define JAYDRIFT_DECIDE_TASK_REF_HPP

#include <jaydrift/core/shard_id.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jaydrift::decide {

/// Names a task of a batch job.
struct task_ref
{
    shard_id shard;
    std::string job;
    std::uint32_t index = 0;

    auto operator<=>(task_ref const&) const = default;
};

/// Returns the task's ID at a worker: `job/index`.
std::string task_id(std::string_view job, std::uint32_t index);

/// Returns the task of the shard that an ID of `task_id` names, or nothing if
/// the ID has another form.
std::optional<task_ref> parse_task_id(shard_id const& shard,
                                      std::string_view id);

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_TASK_REF_HPP
