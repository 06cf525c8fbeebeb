#ifndef JAYDRIFT_SCENARIO_COMMAND_HPP
#define JAYDRIFT_SCENARIO_COMMAND_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jaydrift::scenario {

/// One line of a scenario: a verb, plain arguments and `name=value` options.
struct command
{
    std::string file;
    std::size_t line = 0;
    std::string verb;
    std::vector<std::string> arguments;
    std::map<std::string, std::string, std::less<>> options;

    /// Returns a plain argument. Throws `script_error` if it is absent.
    std::string const& argument(std::size_t index) const;

    /// Returns a plain argument as a number from 0.
    std::int64_t number(std::size_t index) const;

    std::string option(std::string_view name, std::string_view absent) const;
    std::int64_t number_option(std::string_view name,
                               std::int64_t absent) const;

    /// Throws `script_error` with the file and the line.
    [[noreturn]] void fail(std::string_view text) const;
};

} // namespace jaydrift::scenario

#endif // JAYDRIFT_SCENARIO_COMMAND_HPP
