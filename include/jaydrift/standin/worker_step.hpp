#ifndef JAYDRIFT_STANDIN_WORKER_STEP_HPP
#define JAYDRIFT_STANDIN_WORKER_STEP_HPP

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

/// What one step of the worker's reducer works on.
struct worker_step
{
    worker_state& state;
    time_ms now;
    worker_effects& effects;

    template<class Effect>
    void emit(Effect effect)
    {
        effects.emplace_back(std::move(effect));
    }

    /// Returns a reply with what every reply of the shard tells.
    worker_reply reply(shard_id const& shard, worker_outcome outcome,
                       std::string reason = {}) const;

    void answer(std::uint64_t number, worker_reply reply);

    /// Adds an event to the time line.
    void record(std::string_view name, std::string_view task = {},
                std::string_view detail = {});
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_WORKER_STEP_HPP
