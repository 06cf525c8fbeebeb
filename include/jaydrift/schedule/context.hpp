#ifndef JAYDRIFT_SCHEDULE_CONTEXT_HPP
#define JAYDRIFT_SCHEDULE_CONTEXT_HPP

#include <jaydrift/core/log_level.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/effect.hpp>
#include <jaydrift/schedule/state.hpp>

#include <string>
#include <string_view>
#include <utility>

namespace jaydrift::schedule {

/// One step of the reducer: the state, the time and the effects so far.
struct context
{
    state& s;
    time_ms now;
    effects& out;

    void emit(effect output) { out.push_back(std::move(output)); }

    void log(log_level level, std::string_view part, std::string text)
    {
        emit(log_event{level, std::string(part), std::move(text)});
    }

    void count(std::string_view name, std::string_view type)
    {
        emit(measure{std::string(name), std::string(type), -1});
    }

    void observe(std::string_view name, time_ms value)
    {
        emit(measure{std::string(name), {}, value.count()});
    }

    /// Wall clock time; only for due times and for times in records.
    time_ms wall() const { return now + s.wall_offset; }
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_CONTEXT_HPP
