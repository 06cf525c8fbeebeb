#ifndef JAYDRIFT_APP_OPERATOR_COMMAND_HPP
#define JAYDRIFT_APP_OPERATOR_COMMAND_HPP

#include <iosfwd>
#include <span>
#include <string_view>

namespace jaydrift::app {

/// What a command of jaydriftctl works on.
struct command_input
{
    /// Words after the command's name.
    std::span<char const* const> words;
    /// Name of the command, such as `policy apply`.
    std::string_view name;
    std::string_view summary;
    std::string_view version;
    std::ostream& output;
    std::ostream& errors;
};

int show_policy_command(command_input const& input);
int apply_policy_command(command_input const& input);
int undo_policy_command(command_input const& input);
int open_zone_command(command_input const& input);
int close_zone_command(command_input const& input);
int status_command(command_input const& input);
int submit_job_command(command_input const& input);
int show_job_command(command_input const& input);
int cancel_job_command(command_input const& input);
int timeline_command(command_input const& input);

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_OPERATOR_COMMAND_HPP
