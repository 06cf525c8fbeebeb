#ifndef JAYDRIFT_NET_SHARD_WIRE_HPP
#define JAYDRIFT_NET_SHARD_WIRE_HPP

#include "wire.hpp"

#include <jaydrift/core/member_info.hpp>
#include <jaydrift/core/ownership_term.hpp>
#include <jaydrift/core/shard_id.hpp>

#include <jaydrift.capnp.h>

/// Tables of the shard and membership structs that several messages share.
namespace jaydrift::net {

template<>
struct wire_format<shard_id>
{
    using message = shard_id;
    using schema = net::schema::ShardId;
    using table = field_list<JAYDRIFT_VALUE(region, Region),
                             JAYDRIFT_VALUE(number, Number)>;
};

template<>
struct wire_format<ownership_term>
{
    using message = ownership_term;
    using schema = net::schema::OwnershipTerm;
    using table =
        field_list<JAYDRIFT_MESSAGE(shard, Shard), JAYDRIFT_VALUE(epoch, Epoch),
                   JAYDRIFT_VALUE(owner, Owner),
                   JAYDRIFT_VALUE(generation, Generation)>;
};

template<>
struct wire_format<member_info>
{
    using message = member_info;
    using schema = net::schema::MemberInfo;
    using table =
        field_list<JAYDRIFT_VALUE(daemon, Daemon),
                   JAYDRIFT_VALUE(address, Address),
                   JAYDRIFT_VALUE(region, Region), JAYDRIFT_VALUE(zone, Zone)>;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_SHARD_WIRE_HPP
