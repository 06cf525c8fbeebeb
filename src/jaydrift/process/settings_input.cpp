#include "settings_input.hpp"

#include <algorithm>
#include <cctype>
#include <cstddef>
#include <iterator>
#include <utility>

#include <boost/program_options.hpp>

namespace jaydrift::process {

namespace {

namespace options = boost::program_options;

options::options_description describe(std::span<setting const> settings)
{
    options::options_description result;
    result.add_options()("help", "")("version", "")("check-settings", "");
    for (auto const& entry : settings)
    {
        if (entry.toggle)
        {
            result.add_options()(entry.name.c_str(), "");
            continue;
        }
        result.add_options()(entry.name.c_str(), options::value<std::string>(),
                             "");
    }
    return result;
}

options::parsed_options parse(std::vector<std::string> const& words,
                              options::options_description const& description)
{
    namespace style = options::command_line_style;
    return options::command_line_parser(words)
        .options(description)
        .style(style::allow_long | style::long_allow_adjacent
               | style::long_allow_next)
        .allow_unregistered()
        .run();
}

} // namespace

std::string environment_variable_of(std::string_view flag)
{
    std::string result = "JAYDRIFT_";
    for (char const character : flag)
    {
        result += character == '-' ? '_'
                                   : static_cast<char>(std::toupper(
                                       static_cast<unsigned char>(character)));
    }
    return result;
}

void settings_input::read(std::span<char const* const> arguments)
{
    read_flags(remove_flags_without_value(arguments));
    read_variables();
}

std::vector<std::string> settings_input::remove_flags_without_value(
    std::span<char const* const> arguments)
{
    std::vector<std::string> kept;
    for (std::size_t i = 0; i < arguments.size(); ++i)
    {
        std::string_view const word = arguments[i];
        auto const takes_value =
            std::ranges::any_of(settings_, [&](setting const& entry) {
                return !entry.toggle && word == "--" + entry.name;
            });
        auto const last = i + 1 == arguments.size();
        if (takes_value
            && (last || std::string_view(arguments[i + 1]).starts_with("--")))
        {
            problems_.push_back(std::string(word) + ": has no value");
            continue;
        }
        kept.emplace_back(word);
    }
    return kept;
}

void settings_input::read_flags(std::vector<std::string> words)
{
    auto const description = describe(settings_);
    // Boost.Program_options stops at the first malformed flag. The flag is
    // reported and removed, so that the others are still checked.
    for (auto attempts = words.size() + 1; attempts > 0; --attempts)
    {
        try
        {
            for (auto& option : parse(words, description).options)
            {
                if (option.position_key >= 0)
                {
                    positional_.insert(positional_.end(), option.value.begin(),
                                       option.value.end());
                }
                else if (option.unregistered)
                {
                    problems_.push_back(
                        option.original_tokens.front()
                        + ": is not a flag; --help lists the flags");
                }
                else
                {
                    auto& values = flags_[option.string_key];
                    values.push_back(
                        option.value.empty() ? "yes" : option.value.front());
                }
            }
            return;
        }
        catch (options::error_with_option_name const& error)
        {
            auto const flag = error.get_option_name();
            auto const malformed =
                std::ranges::find_if(words, [&](std::string const& word) {
                    return word == flag || word.starts_with(flag + "=");
                });
            problems_.push_back(
                flag
                + ": has a value though it takes none, or an empty value; "
                  "--help lists the allowed values");
            if (malformed == words.end())
            {
                return;
            }
            words.erase(malformed);
        }
    }
}

void settings_input::read_variables()
{
    std::map<std::string, std::string> flags_by_variable;
    for (auto const& entry : settings_)
    {
        flags_by_variable[environment_variable_of(entry.name)] = entry.name;
    }
    auto const parsed = options::parse_environment(
        describe(settings_), [&](std::string const& variable) {
            auto const found = flags_by_variable.find(variable);
            return found == flags_by_variable.end() ? std::string()
                                                    : found->second;
        });
    for (auto const& option : parsed.options)
    {
        variables_[option.string_key] = option.value.front();
    }
}

std::vector<std::string> settings_input::assign()
{
    for (auto const& entry : settings_)
    {
        assign_setting(entry);
    }
    assign_arguments();
    return std::move(problems_);
}

void settings_input::assign_setting(setting const& entry)
{
    auto const label = "--" + entry.name;
    if (auto const flag = flags_.find(entry.name); flag != flags_.end())
    {
        if (flag->second.size() > 1)
        {
            problems_.push_back(label + ": is given "
                                + std::to_string(flag->second.size())
                                + " times; allowed: once");
            return;
        }
        assign_value(entry, label, flag->second.front());
        return;
    }
    if (auto const found = variables_.find(entry.name);
        found != variables_.end())
    {
        assign_value(entry,
                     label + " (" + environment_variable_of(entry.name) + ")",
                     found->second);
        return;
    }
    auto const reported =
        std::ranges::any_of(problems_, [&](std::string const& message) {
            return message.starts_with(label + ": ");
        });
    if (entry.required && !reported)
    {
        problems_.push_back(label + ": is required; allowed: " + entry.allowed);
    }
}

void settings_input::assign_value(setting const& entry, std::string_view label,
                                  std::string_view value)
{
    if (auto const issue = entry.assign(value))
    {
        problems_.push_back(std::string(label) + ": \"" + std::string(value)
                            + "\" " + *issue + "; allowed: " + entry.allowed);
    }
}

void settings_input::assign_arguments()
{
    for (std::size_t i = 0; i < arguments_.size(); ++i)
    {
        if (i < positional_.size())
        {
            assign_value(arguments_[i], arguments_[i].name, positional_[i]);
            continue;
        }
        problems_.push_back(arguments_[i].name + ": is required; allowed: "
                            + arguments_[i].allowed);
    }
    for (auto i = arguments_.size(); i < positional_.size(); ++i)
    {
        problems_.push_back(
            "\"" + positional_[i]
            + "\": is an unexpected argument; flags begin with --");
    }
}

} // namespace jaydrift::process
