#ifndef JAYDRIFT_STANDIN_WORKER_CONTEXT_HPP
#define JAYDRIFT_STANDIN_WORKER_CONTEXT_HPP

#include <jaydrift/core/shard_id.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/core/worker_reply.hpp>
#include <jaydrift/standin/worker_effect.hpp>
#include <jaydrift/standin/worker_state.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace jaydrift::standin {

/// The state, time and effects of one step of the worker's reducer.
struct worker_context
{
    worker_state& state;
    time_ms now;
    worker_effects& effects;

    template<class Effect>
    void emit(Effect effect)
    {
        effects.emplace_back(std::move(effect));
    }

    /// Returns a reply with the fields that all replies for the shard have,
    /// such as clock, epoch, policy version, capacity and use. `reason` is
    /// empty on success.
    worker_reply reply(shard_id const& shard, worker_outcome outcome,
                       std::string reason = {}) const;

    void answer(std::uint64_t number, worker_reply reply);

    /// Adds an event to the timeline of the process.
    void record(std::string_view name, std::string_view task = {},
                std::string_view detail = {});
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_WORKER_CONTEXT_HPP
