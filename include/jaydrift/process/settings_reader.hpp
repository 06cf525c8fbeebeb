#ifndef JAYDRIFT_PROCESS_SETTINGS_READER_HPP
#define JAYDRIFT_PROCESS_SETTINGS_READER_HPP

#include <concepts>
#include <cstdint>
#include <functional>
#include <iosfwd>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <jaydrift/core/log_level.hpp>
#include <jaydrift/core/member_info.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/process/presence.hpp>
#include <jaydrift/process/region_zones.hpp>
#include <jaydrift/process/setting.hpp>
#include <jaydrift/process/setting_values.hpp>

namespace jaydrift::process {

/// Reads a program's settings from flags (`--listen-http`) and environment
/// variables (`JAYDRIFT_LISTEN_HTTP`); flags take precedence. `--help`,
/// `--version` and `--check-settings` are built in.
///
/// Each function before `read` describes one setting. Its target holds the
/// default and must outlive the reader; an empty text or list means that there
/// is no default.
class settings_reader
{
public:
    settings_reader(std::string_view program, std::string_view version,
                    std::string_view summary);

    /// Name as `check_name` allows it.
    void name(std::string_view flag, std::string& target, std::string_view help,
              presence need = presence::required);
    /// Any text that is not empty.
    void text(std::string_view flag, std::string& target, std::string_view help,
              presence need = presence::required);
    /// Different names separated by commas.
    void names(std::string_view flag, std::vector<std::string>& target,
               std::string_view help, presence need = presence::required);

    /// Address that the program listens on; port 0 lets the kernel choose a
    /// port.
    void listen_address(std::string_view flag, std::string& target,
                        std::string_view help,
                        presence need = presence::required);
    /// Address of another process.
    void address(std::string_view flag, std::string& target,
                 std::string_view help, presence need = presence::required);
    /// Addresses of other processes, separated by commas.
    void addresses(std::string_view flag, std::vector<std::string>& target,
                   std::string_view help, presence need = presence::required);
    /// Daemons as `name=ip:port=region=zone,...`, with different names.
    void members(std::string_view flag, std::vector<member_info>& target,
                 std::string_view help, presence need = presence::required);
    /// Regions and their zones as `region=zone,zone;region=zone`.
    void zones(std::string_view flag, std::vector<region_zones>& target,
               std::string_view help, presence need = presence::required);

    /// Duration in whole milliseconds; the flag should end in `-ms`.
    void duration(std::string_view flag, time_ms& target, time_ms low,
                  time_ms high, std::string_view help);
    /// Whole number. `unit`, such as `MB`, is shown in texts and may be empty.
    template<std::unsigned_integral Number>
    void number(std::string_view flag, Number& target, Number low, Number high,
                std::string_view unit, std::string_view help)
    {
        add_number(flag, target, low, high, unit, help,
                   [&target](std::uint64_t value) {
                       target = static_cast<Number>(value);
                   });
    }

    void level(std::string_view flag, log_level& target, std::string_view help);
    /// Flag without a value; the environment variable is `yes` or `no`.
    void toggle(std::string_view flag, bool& target, std::string_view help);
    /// Required positional argument, in the order of the calls.
    void argument(std::string_view label, std::string& target,
                  std::string_view help);

    /// Describes a setting of any other kind.
    void add(setting description);

    /// Adds a check of settings against each other. `check` runs after all
    /// settings are read and valid. Unlike for a single setting, the text that
    /// it returns also says what is allowed; the error message consists of the
    /// flag and this text.
    void rule(std::string_view flag, std::function<problem()> check);

    /// Reads all settings. Returns the exit status if the program should end
    /// now: 0 after `--help`, `--version` and `--check-settings`, 2 after
    /// writing every problem to `errors`, one line each. `arguments` is the
    /// command line without the program's name.
    std::optional<int> read(std::span<char const* const> arguments,
                            std::ostream& output, std::ostream& errors);

private:
    struct rule_entry
    {
        std::string flag;
        std::function<problem()> check;
    };

    void add_number(std::string_view flag, std::uint64_t default_value,
                    std::uint64_t low, std::uint64_t high,
                    std::string_view unit, std::string_view help,
                    std::function<void(std::uint64_t)> assign);
    void print_help(std::ostream& output) const;

    std::string program_;
    std::string version_;
    std::string summary_;
    std::vector<setting> settings_;
    std::vector<setting> positional_settings_;
    std::vector<rule_entry> rules_;
};

} // namespace jaydrift::process

#endif // JAYDRIFT_PROCESS_SETTINGS_READER_HPP
