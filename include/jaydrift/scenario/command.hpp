#ifndef JAYDRIFT_SCENARIO_COMMAND_HPP
#define JAYDRIFT_SCENARIO_COMMAND_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jaydrift::scenario {

/// One line of a scenario file: a verb, positional arguments and `name=value`
/// options. The getters throw `scenario_file_error` for bad input.
struct command
{
    /// Where the command comes from; lines are numbered from 1.
    std::string file;
    std::size_t line = 0;
    std::string verb;
    std::vector<std::string> arguments;
    std::map<std::string, std::string, std::less<>> options;

    /// Returns a positional argument. Throws if it is absent.
    std::string const& argument(std::size_t index) const;

    /// Returns a positional argument as a number from 0. Throws if it is
    /// absent or not such a number.
    std::int64_t number(std::size_t index) const;

    /// Returns an option, or `default_value` if it is absent.
    std::string option(std::string_view name,
                       std::string_view default_value) const;

    /// Returns an option as a number from 0, or `default_value` if it is
    /// absent. Throws if it is not such a number.
    std::int64_t number_option(std::string_view name,
                               std::int64_t default_value) const;

    /// Throws `scenario_file_error` with the file, the line and the message.
    [[noreturn]] void fail(std::string_view message) const;
};

} // namespace jaydrift::scenario

#endif // JAYDRIFT_SCENARIO_COMMAND_HPP
