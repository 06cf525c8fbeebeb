#ifndef JAYDRIFT_STANDIN_STORE_CONTEXT_HPP
#define JAYDRIFT_STANDIN_STORE_CONTEXT_HPP

#include <jaydrift/core/store_reply.hpp>
#include <jaydrift/standin/store_effect.hpp>
#include <jaydrift/standin/store_state.hpp>

#include <string_view>
#include <utility>

namespace jaydrift::standin {

/// The state, time and effects of one step of the store's reducer.
struct store_context
{
    store_state& state;
    time_ms now;
    store_effects& effects;

    /// Answers a call, after the delay of a slow store.
    void answer(std::uint64_t number, store_reply reply);

    /// Drops a call without an answer.
    void drop(std::uint64_t number);

    /// Adds an event to the timeline of the process.
    void record(std::string_view name, std::string_view detail = {});
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_STORE_CONTEXT_HPP
