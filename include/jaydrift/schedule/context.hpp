#ifndef JAYDRIFT_SCHEDULE_CONTEXT_HPP
#define JAYDRIFT_SCHEDULE_CONTEXT_HPP

#include <jaydrift/core/log_level.hpp>
#include <jaydrift/core/log_subject.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/daemon_state.hpp>
#include <jaydrift/schedule/effect.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace jaydrift::schedule {

/// What a handler of the reducer works on: the state, the time of the event and
/// the effects so far. Refers to the state and effects; owns neither.
struct context
{
    daemon_state& state;
    time_ms now;
    effect_list& effects;

    void emit(effect output) { effects.push_back(std::move(output)); }

    /// Writes a log line about the state of the daemon, the store or a worker;
    /// `part` is its prefix, such as `ownership`.
    void log(log_level level, std::string_view part, std::string text)
    {
        emit(log_line{level, log_subject::state, std::string(part),
                      std::move(text)});
    }

    /// Writes a log line about a single submission, step, task, run or call.
    /// These lines have a limit of their own, see `process::rate_limited_log`.
    void log_work(log_level level, std::string_view part, std::string text)
    {
        emit(log_line{level, log_subject::work, std::string(part),
                      std::move(text)});
    }

    /// Increments the counter `name`; `type` is its label and may be empty.
    void count(std::string_view name, std::string_view type)
    {
        emit(metric_update{std::string(name), std::string(type),
                           counter_increment});
    }

    /// Adds a duration in ms to the histogram `name`.
    void observe(std::string_view name, time_ms value)
    {
        emit(metric_update{std::string(name), {}, value.count()});
    }

    /// Sets the gauge `name`; `type` is its label.
    void gauge(std::string_view name, std::string_view type, std::int64_t value)
    {
        emit(gauge_update{std::string(name), std::string(type), value});
    }

    /// Returns the wall clock time. Only due times of submissions and times in
    /// records use it; everything else uses `now`, which never jumps.
    time_ms wall_time() const { return now + state.wall_offset; }
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_CONTEXT_HPP
