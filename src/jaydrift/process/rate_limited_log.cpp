#include <jaydrift/process/rate_limited_log.hpp>

#include <jaydrift/process/log.hpp>

#include <string>

namespace jaydrift::process {

namespace {

// All workers of a large deployment may change their state within a second. The
// limit holds for warnings and for other lines alike.
constexpr std::uint32_t state_lines_per_second = 1000;

// A line costs about 10 us, so all limits together take at most 2.4 % of a
// core.
constexpr std::uint32_t work_lines_per_second = 300;
constexpr std::uint32_t work_warnings_per_second = 100;

constexpr time_ms one_second{1000};

std::uint32_t limit(log_subject subject, bool is_warning)
{
    if (subject == log_subject::state)
    {
        return state_lines_per_second;
    }
    return is_warning ? work_warnings_per_second : work_lines_per_second;
}

} // namespace

void rate_limited_log::write(time_ms now, log_level level, log_subject subject,
                             std::string_view part, std::string_view text)
{
    if (now - second_start_ >= one_second)
    {
        report_dropped();
        second_start_ = now;
        state_ = {};
        work_ = {};
    }
    auto const is_warning = level >= log_level::warning;
    auto& counts = subject == log_subject::state ? state_ : work_;
    auto& written = is_warning ? counts.warnings : counts.others;
    if (written >= limit(subject, is_warning))
    {
        ++counts.dropped;
        return;
    }
    ++written;
    log_line(level, part, text);
}

void rate_limited_log::report_dropped() const
{
    auto const sum = state_.dropped + work_.dropped;
    if (sum > 0)
    {
        log_line(log_level::warning, "log",
                 "left out " + std::to_string(sum) + " lines: "
                     + std::to_string(state_.dropped) + " about state, "
                     + std::to_string(work_.dropped) + " about work");
    }
}

} // namespace jaydrift::process
