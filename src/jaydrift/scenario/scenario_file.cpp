#include <jaydrift/scenario/scenario_file.hpp>

#include <jaydrift/scenario/scenario_file_error.hpp>

#include <charconv>
#include <fstream>
#include <sstream>

namespace jaydrift::scenario {

namespace {

/// Returns a number from 0. Throws `scenario_file_error` with the file and the
/// line of the command if `text` is not one.
std::int64_t parse_number(command const& cmd, std::string_view text)
{
    std::int64_t value = 0;
    auto const* const end = text.data() + text.size();
    auto const [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || stop != end || value < 0)
    {
        cmd.fail("'" + std::string(text) + "' is not a number from 0");
    }
    return value;
}

/// Returns the command of one line. Its verb is empty if the line has none.
command parse_line(std::string_view file, std::size_t line_number,
                   std::string const& text)
{
    command result;
    result.file = std::string(file);
    result.line = line_number;
    std::istringstream words(text.substr(0, text.find('#')));
    std::string word;
    words >> result.verb;
    while (words >> word)
    {
        auto const equals = word.find('=');
        if (equals == std::string::npos)
        {
            result.arguments.push_back(word);
        }
        else
        {
            result.options[word.substr(0, equals)] = word.substr(equals + 1);
        }
    }
    return result;
}

} // namespace

void command::fail(std::string_view message) const
{
    throw scenario_file_error(file + ":" + std::to_string(line) + ": "
                              + std::string(message));
}

std::string const& command::argument(std::size_t index) const
{
    if (index >= arguments.size())
    {
        fail("'" + verb + "' needs at least " + std::to_string(index + 1)
             + " arguments");
    }
    return arguments[index];
}

std::int64_t command::number(std::size_t index) const
{
    return parse_number(*this, argument(index));
}

std::string command::option(std::string_view name,
                            std::string_view default_value) const
{
    auto const found = options.find(name);
    return found == options.end() ? std::string(default_value) : found->second;
}

std::int64_t command::number_option(std::string_view name,
                                    std::int64_t default_value) const
{
    auto const found = options.find(name);
    return found == options.end() ? default_value
                                  : parse_number(*this, found->second);
}

std::vector<command> parse_scenario_file(std::string_view file,
                                         std::string_view text)
{
    std::vector<command> commands;
    std::istringstream lines{std::string(text)};
    std::string line;
    for (std::size_t line_number = 1; std::getline(lines, line); ++line_number)
    {
        auto parsed = parse_line(file, line_number, line);
        if (!parsed.verb.empty())
        {
            commands.push_back(std::move(parsed));
        }
    }
    return commands;
}

std::vector<command> load_scenario_file(std::string const& path)
{
    std::ifstream file(path);
    if (!file)
    {
        throw scenario_file_error(path + ": cannot be read");
    }
    std::stringstream text;
    text << file.rdbuf();
    return parse_scenario_file(path, text.str());
}

} // namespace jaydrift::scenario
