#ifndef JAYDRIFT_SCENARIO_SCRIPT_HPP
#define JAYDRIFT_SCENARIO_SCRIPT_HPP

#include <jaydrift/scenario/command.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace jaydrift::scenario {

/// Splits a scenario into commands. Empty lines and text after `#` are
/// ignored. Throws `script_error`.
std::vector<command> parse_script(std::string_view file, std::string_view text);

/// Reads and splits a scenario file. Throws `script_error`.
std::vector<command> load_script(std::string const& path);

} // namespace jaydrift::scenario

#endif // JAYDRIFT_SCENARIO_SCRIPT_HPP
