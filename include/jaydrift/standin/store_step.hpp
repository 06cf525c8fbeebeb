#ifndef JAYDRIFT_STANDIN_STORE_STEP_HPP
#define JAYDRIFT_STANDIN_STORE_STEP_HPP

#include <jaydrift/core/store_reply.hpp>
#include <jaydrift/standin/store_effect.hpp>
#include <jaydrift/standin/store_state.hpp>

#include <string_view>
#include <utility>

namespace jaydrift::standin {

/// What one step of the store's reducer works on.
struct store_step
{
    store_state& state;
    time_ms now;
    store_effects& effects;

    /// Answers a call, late if the store is slow.
    void answer(std::uint64_t number, store_reply reply);

    /// Forgets a call.
    void drop(std::uint64_t number);

    /// Adds an event to the time line.
    void record(std::string_view name, std::string_view detail = {});
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_STORE_STEP_HPP
