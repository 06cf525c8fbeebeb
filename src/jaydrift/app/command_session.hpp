#ifndef JAYDRIFT_APP_COMMAND_SESSION_HPP
#define JAYDRIFT_APP_COMMAND_SESSION_HPP

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <jaydrift/core/operator_reply.hpp>
#include <jaydrift/core/operator_request.hpp>
#include <jaydrift/process/settings_reader.hpp>

#include "operator_command.hpp"

namespace jaydrift::app {

/// Runs one command of jaydriftctl: reads its settings, calls daemons and
/// prints the result.
class command_session
{
public:
    /// Returns the text that is printed for a reply.
    using formatter = std::function<std::string(operator_reply const&)>;

    /// Adds the settings that every command has. `input` must outlive the
    /// session.
    explicit command_session(command_input const& input);
    command_session(command_session const&) = delete;
    command_session& operator=(command_session const&) = delete;

    /// The reader to which a command adds its own settings and arguments before
    /// `read_settings`. Their targets must outlive that call.
    process::settings_reader& settings() { return settings_; }

    /// Adds `--token`, for commands that change something. Messages then show
    /// the token, so that the command can be repeated with it.
    void add_token_setting();

    /// Reads the settings and chooses a random token if none was given. Returns
    /// the exit status if the command ends here, because of `--help` or a usage
    /// error.
    std::optional<int> read_settings();

    /// The token, or empty if the command has none. Valid after
    /// `read_settings`.
    std::string const& token() const { return token_; }
    /// Whether to print JSON instead of tables.
    bool json() const { return json_; }
    /// Operator addresses of the daemons to try.
    std::vector<std::string> const& daemons() const { return daemons_; }

    /// Calls a daemon of `daemons()`, prints the reply as tables or JSON, and
    /// returns the exit status. A failure is reported on the error stream.
    int run(operator_request const& request, formatter const& format_table,
            formatter const& format_json);

    /// Calls the first of `daemons` that can be reached.
    ///
    /// @throws operator_error if none replied.
    operator_reply call(std::vector<std::string> daemons,
                        operator_request const& request);

private:
    command_input const& input_;
    process::settings_reader settings_;
    std::vector<std::string> daemons_{"127.0.0.1:7440"};
    bool json_ = false;
    time_ms timeout_{8000};
    std::string token_;
    bool has_token_setting_ = false;
};

/// Reads a file of at most 1 MB, the largest value that the store holds;
/// `-` means standard input.
///
/// @throws operator_error if it cannot be read or is larger.
std::string read_document(std::string const& path);

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_COMMAND_SESSION_HPP
