#include "command_session.hpp"

#include <fstream>
#include <iostream>
#include <random>
#include <utility>

#include <jaydrift/app/operator_client.hpp>
#include <jaydrift/app/operator_text.hpp>

#include "rpc_operator_transport.hpp"

namespace jaydrift::app {

using namespace literals;

namespace {

/// The largest value that the store holds.
constexpr std::size_t max_document_bytes = std::size_t{1} << 20U;

/// Returns 128 random bits as hexadecimal digits, so that two commands do not
/// get the same token.
std::string random_token()
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::random_device device;
    std::uniform_int_distribution<std::size_t> digit(0, digits.size() - 1);
    std::string token;
    for (int i = 0; i < 32; ++i)
    {
        token += digits[digit(device)];
    }
    return token;
}

/// Reads the rest of `input`, which `path` names in errors.
///
/// @throws operator_error if it cannot be read or is too large.
std::string read_all(std::istream& input, std::string const& path)
{
    std::string text(max_document_bytes + 1, '\0');
    input.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(input.gcount()));
    if (input.bad())
    {
        throw operator_error(path + " cannot be read");
    }
    if (text.size() > max_document_bytes)
    {
        throw operator_error(path
                             + " is too large; allowed: at most 1048576 bytes");
    }
    return text;
}

} // namespace

std::string read_document(std::string const& path)
{
    if (path == "-")
    {
        return read_all(std::cin, "standard input");
    }
    std::ifstream file(path, std::ios::binary);
    if (!file)
    {
        throw operator_error(
            path
            + " cannot be opened; check that the file exists and is readable");
    }
    return read_all(file, path);
}

command_session::command_session(command_input const& input)
    : input_(input), settings_("jaydriftctl " + std::string(input.name),
                               input.version, input.summary)
{
    settings_.addresses("daemon", daemons_,
                        "Operator addresses of daemons, tried in this order "
                        "until one can be reached.");
    settings_.duration("timeout-ms", timeout_, 100_ms, 120000_ms,
                       "Longest wait for an answer; a call whose answer is "
                       "lost is repeated up to twice.");
    settings_.toggle("json", json_, "Print JSON instead of tables.");
}

void command_session::add_token_setting()
{
    has_token_setting_ = true;
    settings_.name(
        "token", token_,
        "Identifies the command: repeated with the same token, it takes effect "
        "only once. If it is not given, a random one is used.",
        process::presence::optional);
}

std::optional<int> command_session::read_settings()
{
    auto const status =
        settings_.read(input_.words, input_.output, input_.errors);
    if (!status && has_token_setting_ && token_.empty())
    {
        token_ = random_token();
    }
    return status;
}

operator_reply command_session::call(std::vector<std::string> daemons,
                                     operator_request const& request)
{
    rpc_operator_transport transport;
    operator_client client(transport, std::move(daemons), timeout_,
                           [this](std::string_view reason) {
                               input_.errors << "The answer was lost ("
                                             << reason
                                             << "); repeating the call";
                               if (has_token_setting_)
                               {
                                   input_.errors << " with --token " << token_;
                               }
                               input_.errors << ".\n";
                           });
    return client.call(request);
}

int command_session::run(operator_request const& request,
                         formatter const& format_table,
                         formatter const& format_json)
{
    operator_reply reply;
    try
    {
        reply = call(daemons_, request);
    }
    catch (operator_error const& error)
    {
        input_.errors << "jaydriftctl: " << error.what()
                      << "; repeat the command";
        if (has_token_setting_)
        {
            input_.errors << " with --token " << token_;
        }
        input_.errors << '\n';
        return 1;
    }
    auto const success = reply.status == call_status::ok;
    if (json_)
    {
        input_.output << format_json(reply) << '\n';
    }
    else if (success)
    {
        input_.output << format_table(reply);
    }
    if (!success)
    {
        input_.errors << "jaydriftctl: " << format_failure(reply, token_)
                      << '\n';
    }
    return success ? 0 : 1;
}

} // namespace jaydrift::app
