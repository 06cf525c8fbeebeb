#include <cstdint>
#include <limits>
#include <ostream>
#include <string>
#include <utility>

#include <jaydrift/app/operator_text.hpp>
#include <jaydrift/net/document_error.hpp>
#include <jaydrift/net/json.hpp>

#include "command_session.hpp"

namespace jaydrift::app {

namespace {

std::string format_policy_change(operator_reply const& reply)
{
    return "Policy version " + std::to_string(reply.version)
           + " is in force everywhere.\n";
}

/// Adds `--based-on`. It has no default, because the operator has to say which
/// version the change was made from.
void add_based_on(process::settings_reader& settings, std::uint64_t& target)
{
    process::setting entry;
    entry.name = "based-on";
    entry.help = "Policy version that the change is based on, as `policy show` "
                 "prints it.";
    entry.allowed = "a policy version, 0 or more";
    entry.required = true;
    entry.assign = [&target](std::string_view text) {
        constexpr auto max = std::numeric_limits<std::uint64_t>::max();
        return process::parse_number(text, 0, max, target);
    };
    settings.add(std::move(entry));
}

int run_zone_command(command_input const& input, bool open)
{
    command_session session(input);
    set_zone request;
    request.open = open;
    session.settings().argument("ZONE", request.zone,
                                "Name of the availability zone.");
    session.add_token_setting();
    if (auto const status = session.read_settings())
    {
        return *status;
    }
    request.token = session.token();
    return session.run(request, format_policy_change,
                       net::print_operator_reply);
}

} // namespace

int show_policy_command(command_input const& input)
{
    command_session session(input);
    if (auto const status = session.read_settings())
    {
        return *status;
    }
    return session.run(
        show_policy(),
        [](operator_reply const& reply) { return format_policy(reply.policy); },
        [](operator_reply const& reply) {
            return net::print_policy(reply.policy);
        });
}

int apply_policy_command(command_input const& input)
{
    command_session session(input);
    apply_policy request;
    std::string file;
    session.settings().argument(
        "FILE", file,
        "File with the policy document as JSON; - reads standard input.");
    add_based_on(session.settings(), request.based_on);
    session.add_token_setting();
    if (auto const status = session.read_settings())
    {
        return *status;
    }
    try
    {
        request.policy = net::parse_policy(read_document(file));
    }
    catch (net::document_error const& error)
    {
        input.errors << "jaydriftctl: " << file << ": " << error.what() << '\n';
        return 1;
    }
    request.token = session.token();
    return session.run(request, format_policy_change,
                       net::print_operator_reply);
}

int undo_policy_command(command_input const& input)
{
    command_session session(input);
    undo_policy request;
    add_based_on(session.settings(), request.based_on);
    session.add_token_setting();
    if (auto const status = session.read_settings())
    {
        return *status;
    }
    request.token = session.token();
    return session.run(request, format_policy_change,
                       net::print_operator_reply);
}

int open_zone_command(command_input const& input)
{
    return run_zone_command(input, true);
}

int close_zone_command(command_input const& input)
{
    return run_zone_command(input, false);
}

int status_command(command_input const& input)
{
    command_session session(input);
    if (auto const status = session.read_settings())
    {
        return *status;
    }
    return session.run(show_status(), format_status, net::print_operator_reply);
}

} // namespace jaydrift::app
