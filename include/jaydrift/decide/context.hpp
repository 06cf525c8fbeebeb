#ifndef JAYDRIFT_DECIDE_CONTEXT_HPP
#define JAYDRIFT_DECIDE_CONTEXT_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/decide/daemon_state.hpp>
#include <jaydrift/decide/effect.hpp>
#include <jaydrift/decide/reducer_module.hpp>

#include <cstdint>
#include <string_view>
#include <utility>

namespace jaydrift::decide {

/// The state, time and effects of one step of the reducer.
struct context
{
    daemon_state& state;
    time_ms now;
    effect_list& effects;

    /// Adds an effect to the result of the step.
    template<class Effect>
    void emit(Effect effect)
    {
        effects.emplace_back(std::move(effect));
    }

    /// Returns a new correlation number. Its top 8 bits name the module that
    /// gets the reply; see `module_of`.
    std::uint64_t next_correlation(reducer_module owner)
    {
        ++state.last_correlation;
        return (static_cast<std::uint64_t>(owner) << 56U)
               | state.last_correlation;
    }

    /// Sends a request to the store and returns its correlation number. The
    /// timeout is `store_timeout`.
    std::uint64_t ask_store(reducer_module owner, store_request request);

    /// Sends a request to a daemon and returns its correlation number. The
    /// timeout is `peer_timeout`.
    std::uint64_t ask_peer(reducer_module owner, member_info const& peer,
                           peer_request request);

    /// Sends a request to a worker and returns its correlation number.
    std::uint64_t ask_worker(reducer_module owner, std::string_view worker,
                             std::string_view address, worker_request request,
                             time_ms timeout);

    /// Writes a log line that begins with `prefix`, such as "ownership".
    void log(log_level level, std::string_view prefix, std::string text);

    /// Adds an event to the process's timeline.
    void add_timeline_event(std::string_view name,
                            std::string_view request = {},
                            std::string_view task = {},
                            std::string_view detail = {});
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_CONTEXT_HPP
