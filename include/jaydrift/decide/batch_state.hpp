#ifndef JAYDRIFT_DECIDE_BATCH_STATE_HPP
#define JAYDRIFT_DECIDE_BATCH_STATE_HPP

#include <jaydrift/core/shard_id.hpp>
#include <jaydrift/decide/forwarded_call.hpp>
#include <jaydrift/decide/run_time_estimate.hpp>
#include <jaydrift/decide/shard_batch.hpp>
#include <jaydrift/decide/task_call.hpp>
#include <jaydrift/decide/worker_batch.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace jaydrift::decide {

/// State of batch work at this daemon.
struct batch_state
{
    std::map<shard_id, shard_batch> shards;
    std::map<std::string, worker_batch, std::less<>> workers;

    /// Learned run times by kind.
    std::map<std::string, run_time_estimate, std::less<>> estimates;

    /// Calls to workers in flight, by correlation number.
    std::map<std::uint64_t, task_call> calls;

    /// Requests forwarded to other owners, by correlation number.
    std::map<std::uint64_t, forwarded_call> forwarded;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_BATCH_STATE_HPP
