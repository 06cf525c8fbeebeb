#ifndef JAYDRIFT_NET_POLICY_WIRE_HPP
#define JAYDRIFT_NET_POLICY_WIRE_HPP

#include "wire.hpp"

#include <jaydrift/core/class_share.hpp>
#include <jaydrift/core/kind_policy.hpp>
#include <jaydrift/core/policy_document.hpp>
#include <jaydrift/core/resources.hpp>
#include <jaydrift/core/task_class.hpp>
#include <jaydrift/core/team_quota.hpp>
#include <jaydrift/core/zone_policy.hpp>

#include <jaydrift.capnp.h>

/// Tables of the policy document and its parts.
namespace jaydrift::net {

template<>
struct wire_enum<task_class>
{
    static constexpr auto last = task_class::background;
    static constexpr auto last_on_wire = schema::TaskClass::BACKGROUND;
};

template<>
struct wire_format<resources>
{
    using message = resources;
    using schema = net::schema::Resources;
    using table = field_list<JAYDRIFT_VALUE(millicores, Millicores),
                             JAYDRIFT_VALUE(memory_mb, MemoryMb),
                             JAYDRIFT_VALUE(accelerators, Accelerators)>;
};

template<>
struct wire_format<zone_policy>
{
    using message = zone_policy;
    using schema = net::schema::ZonePolicy;
    using table =
        field_list<JAYDRIFT_VALUE(name, Name), JAYDRIFT_VALUE(region, Region),
                   JAYDRIFT_VALUE(open, Open)>;
};

template<>
struct wire_format<kind_policy>
{
    using message = kind_policy;
    using schema = net::schema::KindPolicy;
    using table = field_list<JAYDRIFT_VALUE(kind, Kind),
                             JAYDRIFT_VALUE(priority, Priority),
                             JAYDRIFT_VALUE(idempotent, Idempotent),
                             JAYDRIFT_MESSAGE(demand, Demand)>;
};

template<>
struct wire_format<class_share>
{
    using message = class_share;
    using schema = net::schema::ClassShare;
    using table = field_list<JAYDRIFT_VALUE(priority, Priority),
                             JAYDRIFT_VALUE(percent, Percent)>;
};

template<>
struct wire_format<team_quota>
{
    using message = team_quota;
    using schema = net::schema::TeamQuota;
    using table = field_list<JAYDRIFT_VALUE(team, Team),
                             JAYDRIFT_VALUE(millicores, Millicores)>;
};

template<>
struct wire_format<policy_document>
{
    using message = policy_document;
    using schema = net::schema::PolicyDocument;
    using table = field_list<
        JAYDRIFT_VALUE(version, Version), JAYDRIFT_VALUE(comment, Comment),
        JAYDRIFT_LIST(zones, Zones), JAYDRIFT_LIST(kinds, Kinds),
        JAYDRIFT_LIST(shares, Shares), JAYDRIFT_LIST(quotas, Quotas)>;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_POLICY_WIRE_HPP
