#ifndef JAYDRIFT_APP_TIMELINE_TEXT_HPP
#define JAYDRIFT_APP_TIMELINE_TEXT_HPP

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <jaydrift/core/timeline_event.hpp>

namespace jaydrift::app {

/// Prints events as JSON, one line each; what a stand-in serves on
/// `/timeline`. Control characters become spaces.
std::string timeline_lines(std::span<timeline_event const> events);

/// Reads what `timeline_lines` prints.
///
/// @throws std::invalid_argument naming the line that cannot be read.
std::vector<timeline_event> parse_timeline_lines(std::string_view text);

/// Orders the events of several processes by time, then by process and
/// sequence number, so that one process's events keep their order.
std::vector<timeline_event>
merge_timelines(std::vector<std::vector<timeline_event>> timelines);

/// Prints events as a table.
std::string timeline_table(std::span<timeline_event const> events);

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_TIMELINE_TEXT_HPP
