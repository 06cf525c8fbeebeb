#include <jaydrift/standin/worker_context.hpp>

namespace jaydrift::standin {

worker_reply worker_context::reply(shard_id const& shard,
                                   worker_outcome outcome,
                                   std::string reason) const
{
    worker_reply result;
    result.outcome = outcome;
    result.reason = std::move(reason);
    result.worker_clock = now;
    result.history_complete =
        now >= state.started_at.value_or(now) + state.settings.retention;
    if (auto const term = state.shards.find(shard); term != state.shards.end())
    {
        result.epoch = term->second.epoch;
    }
    result.policy_version = state.policy_version;
    result.capacity = state.settings.capacity;
    result.used = state.used;
    result.leaving = state.leaving;
    return result;
}

void worker_context::answer(std::uint64_t number, worker_reply reply)
{
    emit(answer_worker_call{number, std::move(reply)});
}

void worker_context::record(std::string_view name, std::string_view task,
                            std::string_view detail)
{
    emit(record_event{
        std::string(name), {}, std::string(task), std::string(detail)});
}

} // namespace jaydrift::standin
