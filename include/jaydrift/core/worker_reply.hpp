#ifndef JAYDRIFT_CORE_WORKER_REPLY_HPP
#define JAYDRIFT_CORE_WORKER_REPLY_HPP

#include <jaydrift/core/resources.hpp>
#include <jaydrift/core/task_report.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/core/usage_report.hpp>
#include <jaydrift/core/worker_outcome.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace jaydrift {

/// Reply of a worker to any request.
struct worker_reply
{
    worker_outcome outcome = worker_outcome::ok;

    /// Reason of a refusal or failure, for people only.
    std::string reason;

    /// The worker's clock when it replied.
    time_ms worker_clock;

    /// Highest epoch that the worker has seen for the shard.
    std::uint64_t epoch = 0;

    /// Highest policy version that an owner has told the worker.
    std::uint64_t policy_version = 0;
    resources capacity;
    resources used;

    /// The worker knows every task of its retention time. After a restart it
    /// does not, so a task that it does not name may have run there.
    bool history_complete = true;

    /// The VM is leaving and takes no new work.
    bool leaving = false;

    /// Fence: all tasks of the shard. Renew: its tasks that have ended and are
    /// not acknowledged yet, except urgent requests, whose ends need no
    /// acknowledgement. Task action, `already_started` and the end of an urgent
    /// request: the task itself.
    std::vector<task_report> tasks;
    usage_report usage;

    /// Start of an urgent request: its answer.
    std::string answer;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_WORKER_REPLY_HPP
