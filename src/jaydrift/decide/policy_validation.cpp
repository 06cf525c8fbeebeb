#include <jaydrift/decide/policy_validation.hpp>

#include <algorithm>
#include <cstddef>
#include <set>
#include <string_view>

namespace jaydrift::decide {

namespace {

constexpr std::size_t max_comment_bytes = 1024;
constexpr std::size_t max_kinds = 256;
constexpr std::size_t max_quotas = 1000;
constexpr std::size_t max_name_bytes = 64;

std::string field_path(std::string_view list, std::size_t index,
                       std::string_view field)
{
    return std::string(list) + '[' + std::to_string(index) + "]."
           + std::string(field) + ": ";
}

std::string name_error(std::string const& name)
{
    if (name.empty() || name.size() > max_name_bytes)
    {
        return "must have 1 to " + std::to_string(max_name_bytes) + " bytes";
    }
    return {};
}

std::string known_zones(std::span<zone_location const> zones)
{
    std::string list;
    for (auto const& zone : zones)
    {
        list += (list.empty() ? "" : ", ") + zone.zone;
    }
    return list;
}

std::string zone_error(policy_document const& policy,
                       std::span<zone_location const> zones)
{
    std::set<std::string_view> seen;
    for (std::size_t i = 0; i < policy.zones.size(); ++i)
    {
        auto const& zone = policy.zones[i];
        auto const known =
            std::find_if(zones.begin(), zones.end(), [&](auto const& entry) {
                return entry.zone == zone.name;
            });
        if (known == zones.end())
        {
            return field_path("zones", i, "name")
                   + "unknown availability zone '" + zone.name + "'; known are "
                   + known_zones(zones);
        }
        if (known->region != zone.region)
        {
            return field_path("zones", i, "region") + "'" + zone.name
                   + "' is in region '" + known->region + "'";
        }
        if (!seen.insert(zone.name).second)
        {
            return field_path("zones", i, "name") + "'" + zone.name
                   + "' is named twice";
        }
    }
    return {};
}

std::string kind_error(policy_document const& policy)
{
    if (policy.kinds.size() > max_kinds)
    {
        return "kinds: more than " + std::to_string(max_kinds) + " kinds";
    }
    std::set<std::string_view> seen;
    for (std::size_t i = 0; i < policy.kinds.size(); ++i)
    {
        auto const& kind = policy.kinds[i];
        if (auto const error = name_error(kind.kind); !error.empty())
        {
            return field_path("kinds", i, "kind") + error;
        }
        if (!seen.insert(kind.kind).second)
        {
            return field_path("kinds", i, "kind") + "'" + kind.kind
                   + "' is named twice";
        }
        if (kind.demand.millicores < 0 || kind.demand.memory_mb < 0
            || kind.demand.accelerators < 0)
        {
            return field_path("kinds", i, "demand") + "must not be negative";
        }
    }
    return {};
}

std::string share_error(policy_document const& policy)
{
    std::set<task_class> seen;
    for (std::size_t i = 0; i < policy.shares.size(); ++i)
    {
        auto const& share = policy.shares[i];
        if (share.percent > 100)
        {
            return field_path("shares", i, "percent")
                   + std::to_string(share.percent) + " is above 100";
        }
        if (!seen.insert(share.priority).second)
        {
            return field_path("shares", i, "priority")
                   + "the class is named twice";
        }
    }
    return {};
}

std::string quota_error(policy_document const& policy)
{
    if (policy.quotas.size() > max_quotas)
    {
        return "quotas: more than " + std::to_string(max_quotas) + " teams";
    }
    std::set<std::string_view> seen;
    for (std::size_t i = 0; i < policy.quotas.size(); ++i)
    {
        auto const& quota = policy.quotas[i];
        if (auto const error = name_error(quota.team); !error.empty())
        {
            return field_path("quotas", i, "team") + error;
        }
        if (!seen.insert(quota.team).second)
        {
            return field_path("quotas", i, "team") + "'" + quota.team
                   + "' is named twice";
        }
        if (quota.millicores < 0)
        {
            return field_path("quotas", i, "millicores")
                   + "must not be negative";
        }
    }
    return {};
}

} // namespace

std::string policy_error(policy_document const& policy,
                         std::span<zone_location const> zones)
{
    if (policy.comment.size() > max_comment_bytes)
    {
        return "comment: longer than " + std::to_string(max_comment_bytes)
               + " bytes";
    }
    for (auto const& error : {zone_error(policy, zones), kind_error(policy),
                              share_error(policy), quota_error(policy)})
    {
        if (!error.empty())
        {
            return error;
        }
    }
    return {};
}

} // namespace jaydrift::decide
