#ifndef JAYDRIFT_SCENARIO_SCENARIO_FILE_HPP
#define JAYDRIFT_SCENARIO_SCENARIO_FILE_HPP

#include <jaydrift/scenario/command.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace jaydrift::scenario {

/// Splits the text of a scenario file into commands, one for each line. Empty
/// lines and text after `#` are ignored. `file` is the name for error messages.
/// Verbs and arguments are checked only when the commands run.
std::vector<command> parse_scenario_file(std::string_view file,
                                         std::string_view text);

/// Reads a scenario file and splits it into commands. Throws
/// `scenario_file_error` if the file cannot be read.
std::vector<command> load_scenario_file(std::string const& path);

} // namespace jaydrift::scenario

#endif // JAYDRIFT_SCENARIO_SCENARIO_FILE_HPP
