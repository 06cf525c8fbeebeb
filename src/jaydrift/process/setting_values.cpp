#include <jaydrift/process/setting_values.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>
#include <set>
#include <utility>

#include <arpa/inet.h>

namespace jaydrift::process {

namespace {

constexpr std::size_t max_name_length = 64;

constexpr std::array<std::pair<std::string_view, log_level>, 4> log_levels{
    {{"debug", log_level::debug},
     {"info", log_level::info},
     {"warning", log_level::warning},
     {"error", log_level::error}}};

bool is_letter_or_digit(char character)
{
    return (character >= 'a' && character <= 'z')
           || (character >= 'A' && character <= 'Z')
           || (character >= '0' && character <= '9');
}

bool is_ipv4_address(std::string const& text)
{
    in_addr address{};
    return inet_pton(AF_INET, text.c_str(), &address) == 1;
}

/// Returns the problem of a list whose item `item` has the problem `issue`,
/// worded to follow the list in a message.
problem list_item_problem(std::string_view item, std::string_view issue)
{
    return "has \"" + std::string(item) + "\", which " + std::string(issue);
}

problem duplicate_problem(std::string_view name)
{
    return "names " + std::string(name) + " twice";
}

problem parse_member(std::string_view text, member_info& target)
{
    auto const parts = split(text, '=');
    if (parts.size() != 4)
    {
        return list_item_problem(text, "does not have 4 parts");
    }
    if (auto issue = check_address(parts[1], false))
    {
        return list_item_problem(parts[1], *issue);
    }
    for (auto const part : {parts[0], parts[2], parts[3]})
    {
        if (auto issue = check_name(part))
        {
            return list_item_problem(part, *issue);
        }
    }
    target = {std::string(parts[0]), std::string(parts[1]),
              std::string(parts[2]), std::string(parts[3])};
    return std::nullopt;
}

problem parse_region(std::string_view text, region_zones& target)
{
    auto const parts = split(text, '=');
    if (parts.size() != 2)
    {
        return list_item_problem(text, "is not region=zone,zone");
    }
    if (auto issue = check_name(parts[0]))
    {
        return list_item_problem(parts[0], *issue);
    }
    target.region = parts[0];
    return parse_names(parts[1], target.zones);
}

} // namespace

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    while (!text.empty())
    {
        auto const end = std::min(text.find(separator), text.size());
        parts.push_back(text.substr(0, end));
        if (end + 1 == text.size())
        {
            parts.emplace_back();
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return parts;
}

problem check_name(std::string_view text)
{
    if (text.empty())
    {
        return "is empty";
    }
    if (text.size() > max_name_length)
    {
        return "is too long";
    }
    auto const allowed = [](char character) {
        return is_letter_or_digit(character) || character == '-'
               || character == '_' || character == '.';
    };
    if (!is_letter_or_digit(text.front())
        || !std::ranges::all_of(text, allowed))
    {
        return "is not a name";
    }
    return std::nullopt;
}

problem check_address(std::string_view text, bool port_0_allowed)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos
        || !is_ipv4_address(std::string(text.substr(0, colon))))
    {
        return "is not ip:port";
    }
    std::uint64_t port = 0;
    if (parse_number(text.substr(colon + 1), port_0_allowed ? 0 : 1, 65535,
                     port))
    {
        return "has a port out of range";
    }
    return std::nullopt;
}

problem parse_number(std::string_view text, std::uint64_t low,
                     std::uint64_t high, std::uint64_t& target)
{
    std::uint64_t value = 0;
    auto const* const end = text.data() + text.size();
    auto const [parsed_end, error] = std::from_chars(text.data(), end, value);
    if (error == std::errc::result_out_of_range)
    {
        return "is too large";
    }
    if (error != std::errc() || parsed_end != end)
    {
        return "is not a whole number";
    }
    if (value < low)
    {
        return "is too small";
    }
    if (value > high)
    {
        return "is too large";
    }
    target = value;
    return std::nullopt;
}

problem parse_members(std::string_view text, std::vector<member_info>& target)
{
    std::vector<member_info> members;
    std::set<std::string> seen;
    for (auto const part : split(text, ','))
    {
        member_info member;
        if (auto issue = parse_member(part, member))
        {
            return issue;
        }
        if (!seen.insert(member.daemon).second)
        {
            return duplicate_problem(member.daemon);
        }
        members.push_back(std::move(member));
    }
    target = std::move(members);
    return std::nullopt;
}

problem parse_zones(std::string_view text, std::vector<region_zones>& target)
{
    std::vector<region_zones> regions;
    std::set<std::string> seen;
    for (auto const part : split(text, ';'))
    {
        region_zones region;
        if (auto issue = parse_region(part, region))
        {
            return issue;
        }
        if (!seen.insert(region.region).second)
        {
            return duplicate_problem(region.region);
        }
        regions.push_back(std::move(region));
    }
    target = std::move(regions);
    return std::nullopt;
}

problem parse_names(std::string_view text, std::vector<std::string>& target)
{
    std::vector<std::string> names;
    std::set<std::string_view> seen;
    for (auto const part : split(text, ','))
    {
        if (auto issue = check_name(part))
        {
            return list_item_problem(part, *issue);
        }
        if (!seen.insert(part).second)
        {
            return duplicate_problem(part);
        }
        names.emplace_back(part);
    }
    target = std::move(names);
    return std::nullopt;
}

problem parse_addresses(std::string_view text, std::vector<std::string>& target)
{
    std::vector<std::string> addresses;
    for (auto const part : split(text, ','))
    {
        if (auto issue = check_address(part, false))
        {
            return list_item_problem(part, *issue);
        }
        addresses.emplace_back(part);
    }
    target = std::move(addresses);
    return std::nullopt;
}

problem parse_log_level(std::string_view text, log_level& target)
{
    for (auto const& [name, level] : log_levels)
    {
        if (name == text)
        {
            target = level;
            return std::nullopt;
        }
    }
    return "is not a log level";
}

std::string_view name_of(log_level level)
{
    auto const* const entry = std::ranges::find(
        log_levels, level, &std::pair<std::string_view, log_level>::second);
    return entry->first;
}

} // namespace jaydrift::process
