#ifndef JAYDRIFT_PROCESS_SETTING_VALUES_HPP
#define JAYDRIFT_PROCESS_SETTING_VALUES_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <jaydrift/core/log_level.hpp>
#include <jaydrift/core/member_info.hpp>
#include <jaydrift/process/region_zones.hpp>

namespace jaydrift::process {

/// What is wrong with a value, worded to follow the value in a message, such as
/// `is too large`; absent if the value is valid.
///
/// The parsers below change their target only if the text is valid.
using problem = std::optional<std::string>;

/// Checks a name: 1 to 64 letters, digits, `-`, `_` or `.`, the first of them
/// a letter or digit.
problem check_name(std::string_view text);

/// Checks `ip:port` with an IPv4 address. Port 0 lets the kernel choose a port
/// and is allowed only where a program listens.
problem check_address(std::string_view text, bool port_0_allowed);

/// Reads a whole number from `low` to `high`.
problem parse_number(std::string_view text, std::uint64_t low,
                     std::uint64_t high, std::uint64_t& target);

/// Reads entries `name=ip:port=region=zone` with different names, separated by
/// commas.
problem parse_members(std::string_view text, std::vector<member_info>& target);

/// Reads entries `region=zone,zone` with different regions, separated by
/// semicolons.
problem parse_zones(std::string_view text, std::vector<region_zones>& target);

/// Reads different names separated by commas.
problem parse_names(std::string_view text, std::vector<std::string>& target);

/// Reads addresses separated by commas.
problem parse_addresses(std::string_view text,
                        std::vector<std::string>& target);

/// Reads `debug`, `info`, `warning` or `error`.
problem parse_log_level(std::string_view text, log_level& target);

/// Returns the name that `parse_log_level` reads.
std::string_view name_of(log_level level);

/// Splits a text at each separator; an empty text has no parts. The parts are
/// views into `text`.
std::vector<std::string_view> split(std::string_view text, char separator);

} // namespace jaydrift::process

#endif // JAYDRIFT_PROCESS_SETTING_VALUES_HPP
