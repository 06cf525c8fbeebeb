#ifndef JAYDRIFT_SCHEDULE_MEMBER_STATE_HPP
#define JAYDRIFT_SCHEDULE_MEMBER_STATE_HPP

#include <jaydrift/core/time_ms.hpp>

#include <string>

namespace jaydrift::schedule {

/// Another daemon, as this one sees it.
struct member_state
{
    /// Address of its peer port.
    std::string address;

    /// Last time it answered a heartbeat of this daemon, for any shard; long
    /// before the start if it never did.
    time_ms last_reply_at{-1000000};

    /// Share of a core that it has.
    double cpu_share = 0.0;
    std::string region;

    /// It knows of assignments of workers, and of tasks.
    bool assigns_workers = false;
    bool assigns_tasks = false;

    /// It is stopping and will not own a shard any more.
    bool stopping = false;

    /// Last time the store answered it, according to its last heartbeat reply;
    /// long before the start if there was none.
    time_ms store_heard_at{-1000000};
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_MEMBER_STATE_HPP
