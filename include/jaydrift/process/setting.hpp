#ifndef JAYDRIFT_PROCESS_SETTING_HPP
#define JAYDRIFT_PROCESS_SETTING_HPP

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace jaydrift::process {

/// Describes one setting of a program, given as a flag or as an environment
/// variable.
struct setting
{
    /// Flag without the leading dashes, such as `listen-http`.
    std::string name;
    /// What it is for, in one line.
    std::string help;
    /// Allowed values with their unit, such as `100 to 10000 ms`, for `--help`
    /// and for error messages.
    std::string allowed;
    /// Shown by `--help`; empty if there is no default.
    std::string default_text;
    bool required = false;
    /// The flag takes no value; the environment variable is `yes` or `no`.
    bool toggle = false;
    /// Stores a value, or returns what is wrong with it, such as `is too
    /// small`.
    std::function<std::optional<std::string>(std::string_view)> assign;
};

} // namespace jaydrift::process

#endif // JAYDRIFT_PROCESS_SETTING_HPP
