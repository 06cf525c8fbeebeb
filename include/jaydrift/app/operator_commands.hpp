#ifndef JAYDRIFT_APP_OPERATOR_COMMANDS_HPP
#define JAYDRIFT_APP_OPERATOR_COMMANDS_HPP

#include <iosfwd>
#include <span>
#include <string_view>

namespace jaydrift::app {

/// Runs a command of jaydriftctl. `words` is the command line without the
/// program's name, such as `policy show --json`. Returns the exit status: 0 for
/// success, 1 if the command was refused, failed or is pending, 2 for a usage
/// error.
int run_operator_command(std::span<char const* const> words,
                         std::string_view version, std::ostream& output,
                         std::ostream& errors);

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_OPERATOR_COMMANDS_HPP
