#include <jaydrift/process/settings_reader.hpp>

#include <utility>

namespace jaydrift::process {

namespace {

constexpr std::string_view listen_form =
    "ip:port with an IPv4 address, such as 127.0.0.1:8080; port 0 lets the "
    "kernel choose";
constexpr std::string_view address_form =
    "ip:port with an IPv4 address and port 1 to 65535, such as 127.0.0.1:8080";
constexpr std::string_view addresses_form =
    "ip:port,ip:port,... with IPv4 addresses and ports 1 to 65535";
constexpr std::string_view name_form =
    "1 to 64 letters, digits, -, _ or ., beginning with a letter or digit";
constexpr std::string_view names_form = "different names separated by commas";
constexpr std::string_view members_form =
    "name=ip:port=region=zone,... with different names";
constexpr std::string_view zones_form = "region=zone,zone;region=zone";

/// Returns the default that `--help` shows for a list: `none` if it is empty,
/// otherwise nothing.
template<class Target>
std::string empty_list_default(Target const& target)
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

/// Returns a function that assigns a text to `target` if it passes `check`, and
/// otherwise returns the problem.
template<class Check>
auto text_assign(std::string& target, Check check)
{
    return [&target, check](std::string_view text) -> problem {
        auto issue = check(text);
        if (!issue)
        {
            target = text;
        }
        return issue;
    };
}

problem check_not_empty(std::string_view text)
{
    return text.empty() ? problem("is empty") : std::nullopt;
}

/// Returns a function that refuses an empty text and otherwise assigns to
/// `target` with `parse`.
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

void settings_reader::name(std::string_view flag, std::string& target,
                           std::string_view help, presence need)
{
    auto entry = describe(flag, help, name_form, target,
                          target.empty() && need == presence::required);
    entry.assign = text_assign(target, check_name);
    add(std::move(entry));
}

void settings_reader::text(std::string_view flag, std::string& target,
                           std::string_view help, presence need)
{
    auto entry = describe(flag, help, "any non-empty text", target,
                          target.empty() && need == presence::required);
    entry.assign = text_assign(target, check_not_empty);
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
    entry.assign = text_assign(target, [](std::string_view text) {
        return check_address(text, true);
    });
    add(std::move(entry));
}

void settings_reader::address(std::string_view flag, std::string& target,
                              std::string_view help, presence need)
{
    auto entry = describe(flag, help, address_form, target,
                          target.empty() && need == presence::required);
    entry.assign = text_assign(target, [](std::string_view text) {
        return check_address(text, false);
    });
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
    auto entry = describe(flag, help, members_form, empty_list_default(target),
                          target.empty() && need == presence::required);
    entry.assign = list_assign(target, parse_members);
    add(std::move(entry));
}

void settings_reader::zones(std::string_view flag,
                            std::vector<region_zones>& target,
                            std::string_view help, presence need)
{
    auto entry = describe(flag, help, zones_form, empty_list_default(target),
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
        auto issue = parse_number(text, low, high, value);
        if (!issue)
        {
            assign(value);
        }
        return issue;
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
    auto entry = describe(
        flag, help, "no value as a flag; yes or no as an environment variable",
        target ? "yes" : "no", false);
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
    auto entry = describe(label, help, "any non-empty text", {}, true);
    entry.assign = text_assign(target, check_not_empty);
    arguments_.push_back(std::move(entry));
}

} // namespace jaydrift::process
