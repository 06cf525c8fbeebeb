#ifndef JAYDRIFT_PROCESS_SETTINGS_INPUT_HPP
#define JAYDRIFT_PROCESS_SETTINGS_INPUT_HPP

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <jaydrift/process/setting.hpp>

namespace jaydrift::process {

/// Returns the name of the environment variable of a flag, such as
/// `JAYDRIFT_LISTEN_HTTP` for `listen-http`.
std::string environment_variable_of(std::string_view flag);

/// Collects the values of settings from the command line and the environment
/// variables, and assigns them.
class settings_input
{
public:
    /// `positional_settings` describes the positional arguments. Both spans
    /// must outlive this object.
    settings_input(std::span<setting const> settings,
                   std::span<setting const> positional_settings)
        : settings_(settings), positional_settings_(positional_settings)
    {
    }

    /// Reads the command line, without the program's name, and the environment
    /// variables. Problems are kept for `assign`.
    void read(std::span<char const* const> arguments);

    bool help_requested() const { return flags_.contains("help"); }
    bool version_requested() const { return flags_.contains("version"); }
    bool check_requested() const { return flags_.contains("check-settings"); }

    /// Assigns every value to its setting and returns all problems, one message
    /// each. Call it once, after `read`.
    std::vector<std::string> assign();

private:
    /// Returns the arguments without the flags whose value is missing, and
    /// reports those flags. Boost.Program_options would take the next flag as
    /// the value.
    std::vector<std::string>
    remove_flags_without_value(std::span<char const* const> arguments);
    void read_flags(std::vector<std::string> words);
    void read_variables();
    void assign_setting(setting const& entry);
    void assign_value(setting const& entry, std::string_view label,
                      std::string_view value);
    void assign_arguments();

    std::span<setting const> settings_;
    std::span<setting const> positional_settings_;
    std::map<std::string, std::vector<std::string>, std::less<>> flags_;
    std::map<std::string, std::string, std::less<>> variables_;
    std::vector<std::string> positional_values_;
    std::vector<std::string> problems_;
};

} // namespace jaydrift::process

#endif // JAYDRIFT_PROCESS_SETTINGS_INPUT_HPP
