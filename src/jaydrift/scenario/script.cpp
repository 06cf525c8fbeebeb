#include <jaydrift/scenario/script.hpp>

#include <jaydrift/scenario/script_error.hpp>

#include <charconv>
#include <fstream>
#include <sstream>

namespace jaydrift::scenario {

namespace {

std::int64_t parse_number(command const& line, std::string_view text)
{
    std::int64_t value = 0;
    auto const* const end = text.data() + text.size();
    auto const [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || stop != end || value < 0)
    {
        line.fail("'" + std::string(text) + "' is not a number from 0");
    }
    return value;
}

command parse_line(std::string_view file, std::size_t number,
                   std::string const& text)
{
    command result;
    result.file = std::string(file);
    result.line = number;
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

void command::fail(std::string_view text) const
{
    throw script_error(file + ":" + std::to_string(line) + ": "
                       + std::string(text));
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
                            std::string_view absent) const
{
    auto const found = options.find(name);
    return found == options.end() ? std::string(absent) : found->second;
}

std::int64_t command::number_option(std::string_view name,
                                    std::int64_t absent) const
{
    auto const found = options.find(name);
    return found == options.end() ? absent : parse_number(*this, found->second);
}

std::vector<command> parse_script(std::string_view file, std::string_view text)
{
    std::vector<command> commands;
    std::istringstream lines{std::string(text)};
    std::string line;
    for (std::size_t number = 1; std::getline(lines, line); ++number)
    {
        auto parsed = parse_line(file, number, line);
        if (!parsed.verb.empty())
        {
            commands.push_back(std::move(parsed));
        }
    }
    return commands;
}

std::vector<command> load_script(std::string const& path)
{
    std::ifstream file(path);
    if (!file)
    {
        throw script_error(path + ": cannot be read");
    }
    std::stringstream text;
    text << file.rdbuf();
    return parse_script(path, text.str());
}

} // namespace jaydrift::scenario
