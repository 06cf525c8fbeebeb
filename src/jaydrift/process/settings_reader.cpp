#include <jaydrift/process/settings_reader.hpp>

#include <ostream>
#include <utility>

#include "settings_input.hpp"

namespace jaydrift::process {

settings_reader::settings_reader(std::string_view program,
                                 std::string_view version,
                                 std::string_view summary)
    : program_(program), version_(version), summary_(summary)
{
}

void settings_reader::add(setting description)
{
    settings_.push_back(std::move(description));
}

void settings_reader::rule(std::string_view flag,
                           std::function<problem()> check)
{
    rules_.push_back({std::string(flag), std::move(check)});
}

std::optional<int> settings_reader::read(std::span<char const* const> arguments,
                                         std::ostream& output,
                                         std::ostream& errors)
{
    settings_input input(settings_, arguments_);
    input.read(arguments);
    if (input.help_requested())
    {
        print_help(output);
        return 0;
    }
    if (input.version_requested())
    {
        output << program_ << ' ' << version_ << '\n';
        return 0;
    }
    auto problems = input.assign();
    // Rules use the values of several settings, so they run only if all values
    // are valid.
    if (problems.empty())
    {
        for (auto const& [flag, check] : rules_)
        {
            if (auto issue = check())
            {
                problems.push_back("--" + flag + ": " + *issue);
            }
        }
    }
    for (auto const& message : problems)
    {
        errors << message << '\n';
    }
    if (!problems.empty())
    {
        return 2;
    }
    if (input.check_requested())
    {
        output << program_ << ": all settings are valid\n";
        return 0;
    }
    return std::nullopt;
}

void settings_reader::print_help(std::ostream& output) const
{
    output << "usage: " << program_ << " [flags]";
    for (auto const& entry : arguments_)
    {
        output << ' ' << entry.name;
    }
    output << '\n' << summary_ << "\n\n";
    for (auto const& entry : arguments_)
    {
        output << "  " << entry.name << "\n      " << entry.help << '\n';
    }
    for (auto const& entry : settings_)
    {
        output << "  --" << entry.name << (entry.toggle ? "" : " VALUE")
               << "\n      " << entry.help
               << "\n      allowed: " << entry.allowed;
        if (entry.required)
        {
            output << "; required";
        }
        else if (!entry.default_text.empty())
        {
            output << "; default: " << entry.default_text;
        }
        output << "; environment variable: "
               << environment_variable_of(entry.name) << '\n';
    }
    output << "  --check-settings\n      Check the flags and environment "
              "variables and exit.\n"
              "  --help\n      Print this text and exit.\n"
              "  --version\n      Print the version and exit.\n"
              "\nFlags take precedence over environment variables.\n";
}

} // namespace jaydrift::process
