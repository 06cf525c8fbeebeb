#ifndef JAYDRIFT_APP_TIMELINE_TEXT_HPP
#define JAYDRIFT_APP_TIMELINE_TEXT_HPP

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <jaydrift/core/timeline_event.hpp>

namespace jaydrift::app {

/// Formats events as JSON, one line each, as a stand-in serves them on
/// `/timeline`. Control characters become spaces.
std::string format_timeline_lines(std::span<timeline_event const> events);

/// Reads the format of `format_timeline_lines`. Empty lines are skipped.
///
/// @throws std::invalid_argument if a line cannot be read; the message begins
/// with its number, such as `line 2: `.
std::vector<timeline_event> parse_timeline_lines(std::string_view text);

/// Merges the events of several processes, ordered by time, then by process and
/// sequence number, so that events of one process in the same millisecond keep
/// their order.
std::vector<timeline_event>
merge_timelines(std::vector<std::vector<timeline_event>> timelines);

/// Formats events as a table.
std::string format_timeline(std::span<timeline_event const> events);

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_TIMELINE_TEXT_HPP
