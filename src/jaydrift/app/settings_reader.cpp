#include <jaydrift/app/settings_reader.hpp>

#include <ostream>
#include <utility>

#include "settings_input.hpp"

namespace jaydrift::app {

namespace {

constexpr std::string_view listen_form =
    "ip:port, such as 127.0.0.1:8080; port 0 lets the kernel choose";
constexpr std::string_view address_form =
    "ip:port, such as 127.0.0.1:8080, with port 1 to 65535";
constexpr std::string_view addresses_form =
    "ip:port,ip:port with ports 1 to 65535";
constexpr std::string_view name_form =
    "1 to 64 letters, digits, -, _ or ., beginning with a letter or digit";
constexpr std::string_view names_form = "different names separated by commas";
constexpr std::string_view members_form =
    "name=ip:port=region=zone,... with different names";
constexpr std::string_view zones_form = "region=zone,zone;region=zone";

template<class Target>
std::string default_of(Target const& target)
{
    return target.empty() ? "none" : std::string();
}

setting describe(std::string_view flag, std::string_view help,
                 std::string_view allowed, std::string_view initial,
                 bool required)
{
    setting result;
    result.name = flag;
    result.help = help;
    result.allowed = allowed;
    result.default_text = initial;
    result.required = required;
    return result;
}

/// Returns `parse` as an assignment that refuses an empty value.
template<class Target, class Parse>
auto list_assign(Target& target, Parse parse)
{
    return [&target, parse](std::string_view text) -> problem {
        return text.empty() ? problem("is empty") : parse(text, target);
    };
}

std::string join(std::span<std::string const> items)
{
    std::string result;
    for (auto const& item : items)
    {
        result += (result.empty() ? "" : ",") + item;
    }
    return result;
}

} // namespace

settings_reader::settings_reader(std::string_view program,
                                 std::string_view version,
                                 std::string_view summary)
    : program_(program), version_(version), summary_(summary)
{
}

void settings_reader::name(std::string_view flag, std::string& target,
                           std::string_view help, presence need)
{
    auto entry = describe(flag, help, name_form, target,
                          target.empty() && need == presence::required);
    entry.assign = [&target](std::string_view text) {
        auto wrong = check_name(text);
        if (!wrong)
        {
            target = text;
        }
        return wrong;
    };
    add(std::move(entry));
}

void settings_reader::text(std::string_view flag, std::string& target,
                           std::string_view help, presence need)
{
    auto entry = describe(flag, help, "any text that is not empty", target,
                          target.empty() && need == presence::required);
    entry.assign = [&target](std::string_view text) -> problem {
        if (text.empty())
        {
            return "is empty";
        }
        target = text;
        return std::nullopt;
    };
    add(std::move(entry));
}

void settings_reader::names(std::string_view flag,
                            std::vector<std::string>& target,
                            std::string_view help, presence need)
{
    auto entry = describe(flag, help, names_form, join(target),
                          target.empty() && need == presence::required);
    entry.assign = list_assign(target, parse_names);
    add(std::move(entry));
}

void settings_reader::listen_address(std::string_view flag, std::string& target,
                                     std::string_view help, presence need)
{
    auto entry = describe(flag, help, listen_form, target,
                          target.empty() && need == presence::required);
    entry.assign = [&target](std::string_view text) {
        auto wrong = check_address(text, true);
        if (!wrong)
        {
            target = text;
        }
        return wrong;
    };
    add(std::move(entry));
}

void settings_reader::address(std::string_view flag, std::string& target,
                              std::string_view help, presence need)
{
    auto entry = describe(flag, help, address_form, target,
                          target.empty() && need == presence::required);
    entry.assign = [&target](std::string_view text) {
        auto wrong = check_address(text, false);
        if (!wrong)
        {
            target = text;
        }
        return wrong;
    };
    add(std::move(entry));
}

void settings_reader::addresses(std::string_view flag,
                                std::vector<std::string>& target,
                                std::string_view help, presence need)
{
    auto entry = describe(flag, help, addresses_form, join(target),
                          target.empty() && need == presence::required);
    entry.assign = list_assign(target, parse_addresses);
    add(std::move(entry));
}

void settings_reader::members(std::string_view flag,
                              std::vector<member_info>& target,
                              std::string_view help, presence need)
{
    auto entry = describe(flag, help, members_form, default_of(target),
                          target.empty() && need == presence::required);
    entry.assign = list_assign(target, parse_members);
    add(std::move(entry));
}

void settings_reader::zones(std::string_view flag,
                            std::vector<region_zones>& target,
                            std::string_view help, presence need)
{
    auto entry = describe(flag, help, zones_form, default_of(target),
                          target.empty() && need == presence::required);
    entry.assign = list_assign(target, parse_zones);
    add(std::move(entry));
}

void settings_reader::duration(std::string_view flag, time_ms& target,
                               time_ms low, time_ms high, std::string_view help)
{
    add_number(flag, static_cast<std::uint64_t>(target.count()),
               static_cast<std::uint64_t>(low.count()),
               static_cast<std::uint64_t>(high.count()), "ms", help,
               [&target](std::uint64_t value) {
                   target = time_ms(static_cast<std::int64_t>(value));
               });
}

void settings_reader::add_number(std::string_view flag, std::uint64_t initial,
                                 std::uint64_t low, std::uint64_t high,
                                 std::string_view unit, std::string_view help,
                                 std::function<void(std::uint64_t)> assign)
{
    auto allowed = std::to_string(low) + " to " + std::to_string(high);
    if (!unit.empty())
    {
        allowed += ' ' + std::string(unit);
    }
    auto entry = describe(flag, help, allowed, std::to_string(initial), false);
    entry.assign = [low, high,
                    assign = std::move(assign)](std::string_view text) {
        std::uint64_t value = 0;
        auto wrong = parse_number(text, low, high, value);
        if (!wrong)
        {
            assign(value);
        }
        return wrong;
    };
    add(std::move(entry));
}

void settings_reader::level(std::string_view flag, log_level& target,
                            std::string_view help)
{
    auto entry = describe(flag, help, "debug, info, warning or error",
                          name_of(target), false);
    entry.assign = [&target](std::string_view text) {
        return parse_log_level(text, target);
    };
    add(std::move(entry));
}

void settings_reader::toggle(std::string_view flag, bool& target,
                             std::string_view help)
{
    auto entry =
        describe(flag, help, "yes or no", target ? "yes" : "no", false);
    entry.toggle = true;
    entry.assign = [&target](std::string_view text) -> problem {
        if (text != "yes" && text != "no")
        {
            return "is not yes or no";
        }
        target = text == "yes";
        return std::nullopt;
    };
    add(std::move(entry));
}

void settings_reader::argument(std::string_view label, std::string& target,
                               std::string_view help)
{
    auto entry = describe(label, help, "any text that is not empty", {}, true);
    entry.assign = [&target](std::string_view text) -> problem {
        if (text.empty())
        {
            return "is empty";
        }
        target = text;
        return std::nullopt;
    };
    arguments_.push_back(std::move(entry));
}

void settings_reader::add(setting description)
{
    settings_.push_back(std::move(description));
}

void settings_reader::rule(std::string_view flag,
                           std::function<problem()> check)
{
    rules_.push_back({std::string(flag), std::move(check)});
}

std::optional<int> settings_reader::read(std::span<char const* const> arguments,
                                         std::ostream& output,
                                         std::ostream& errors)
{
    settings_input input(settings_, arguments_);
    input.read(arguments);
    if (input.help())
    {
        print_help(output);
        return 0;
    }
    if (input.version())
    {
        output << program_ << ' ' << version_ << '\n';
        return 0;
    }
    auto mistakes = input.assign();
    // A rule may rely on values that were refused, so it comes only after.
    if (mistakes.empty())
    {
        for (auto const& [flag, check] : rules_)
        {
            if (auto wrong = check())
            {
                mistakes.push_back("--" + flag + ": " + *wrong);
            }
        }
    }
    for (auto const& mistake : mistakes)
    {
        errors << mistake << '\n';
    }
    if (!mistakes.empty())
    {
        return 2;
    }
    if (input.check_only())
    {
        output << program_ << ": all settings are valid\n";
        return 0;
    }
    return std::nullopt;
}

void settings_reader::print_help(std::ostream& output) const
{
    output << "usage: " << program_ << " [flags]";
    for (auto const& entry : arguments_)
    {
        output << ' ' << entry.name;
    }
    output << '\n' << summary_ << "\n\n";
    for (auto const& entry : arguments_)
    {
        output << "  " << entry.name << "\n      " << entry.help << '\n';
    }
    for (auto const& entry : settings_)
    {
        output << "  --" << entry.name << (entry.toggle ? "" : " VALUE")
               << "\n      " << entry.help
               << "\n      allowed: " << entry.allowed;
        if (entry.required)
        {
            output << "; required";
        }
        else if (!entry.default_text.empty())
        {
            output << "; default: " << entry.default_text;
        }
        output << "; variable: " << variable_of(entry.name) << '\n';
    }
    output << "  --check-settings\n      Check all settings and exit.\n"
              "  --help\n      Print this text and exit.\n"
              "  --version\n      Print the version and exit.\n"
              "\nFlags take precedence over variables.\n";
}

} // namespace jaydrift::app
