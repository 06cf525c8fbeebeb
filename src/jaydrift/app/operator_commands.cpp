#include <jaydrift/app/operator_commands.hpp>

#include <array>
#include <cstddef>
#include <ostream>
#include <string>
#include <vector>

#include <jaydrift/app/operator_error.hpp>
#include <jaydrift/process/setting_values.hpp>

#include "operator_command.hpp"

namespace jaydrift::app {

namespace {

/// Entry of the list of commands.
struct command
{
    /// One or two words, such as `policy show`.
    std::string_view name;
    std::string_view summary;
    int (*run)(command_input const&);
};

constexpr std::array<command, 10> commands{{
    {"policy show", "Shows the current policy.", show_policy_command},
    {"policy apply", "Makes a policy document the next policy version.",
     apply_policy_command},
    {"policy undo", "Makes the previous policy the next policy version.",
     undo_policy_command},
    {"zone open", "Allows work to start in an availability zone.",
     open_zone_command},
    {"zone close", "Stops new work from starting in an availability zone.",
     close_zone_command},
    {"status", "Shows daemons and shards.", status_command},
    {"job submit", "Submits a batch job.", submit_job_command},
    {"job show", "Shows the progress of a batch job.", show_job_command},
    {"job cancel", "Cancels a batch job.", cancel_job_command},
    {"timeline", "Shows the events of several processes in order of time.",
     timeline_command},
}};

/// Tells whether the command line begins with the words of `name`.
bool starts_with_name(std::span<std::string_view const> name,
                      std::span<char const* const> words)
{
    if (words.size() < name.size())
    {
        return false;
    }
    for (std::size_t i = 0; i < name.size(); ++i)
    {
        if (name[i] != words[i])
        {
            return false;
        }
    }
    return true;
}

void print_usage(std::ostream& output)
{
    output << "usage: jaydriftctl COMMAND [flags] [arguments]\n"
              "Operates a jaydrift deployment. `jaydriftctl COMMAND --help` "
              "lists the flags and arguments of a command.\n\nCommands:\n";
    for (auto const& entry : commands)
    {
        output << "  " << entry.name << "\n      " << entry.summary << '\n';
    }
    output << "\nExit status: 0 success; 1 refused, failed, conflict or "
              "pending; 2 usage error.\n";
}

} // namespace

int run_operator_command(std::span<char const* const> words,
                         std::string_view version, std::ostream& output,
                         std::ostream& errors)
{
    for (auto const& entry : commands)
    {
        auto const name = process::split(entry.name, ' ');
        if (!starts_with_name(name, words))
        {
            continue;
        }
        try
        {
            return entry.run({words.subspan(name.size()), entry.name,
                              entry.summary, version, output, errors});
        }
        catch (operator_error const& error)
        {
            errors << "jaydriftctl: " << error.what() << '\n';
            return 1;
        }
    }
    for (std::string_view const word : words)
    {
        if (word == "--help")
        {
            print_usage(output);
            return 0;
        }
        if (word == "--version")
        {
            output << "jaydriftctl " << version << '\n';
            return 0;
        }
    }
    errors
        << "jaydriftctl: "
        << (words.empty()
                ? "no command was given"
                : "unknown command; the command line must begin with a command")
        << "; --help lists the commands\n";
    return 2;
}

} // namespace jaydrift::app
