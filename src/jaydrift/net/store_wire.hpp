#ifndef JAYDRIFT_NET_STORE_WIRE_HPP
#define JAYDRIFT_NET_STORE_WIRE_HPP

#include "policy_wire.hpp"
#include "wire.hpp"

#include <jaydrift/core/store_reply.hpp>
#include <jaydrift/core/store_request.hpp>

#include <jaydrift.capnp.h>

/// Tables of the messages to and from the store and the VM list.
namespace jaydrift::net {

template<>
struct wire_enum<store_outcome>
{
    static constexpr auto last = store_outcome::too_large;
    static constexpr auto last_on_wire = schema::StoreOutcome::TOO_LARGE;
};

template<>
struct wire_enum<vm_state>
{
    static constexpr auto last = vm_state::gone;
    static constexpr auto last_on_wire = schema::VmState::GONE;
};

template<>
struct wire_format<put_request>
{
    using message = put_request;
    using schema = net::schema::PutRequest;
    using table =
        field_list<JAYDRIFT_VALUE(key, Key), JAYDRIFT_VALUE(value, Value),
                   JAYDRIFT_OPTIONAL(expected_revision, HasExpectedRevision,
                                     ExpectedRevision),
                   JAYDRIFT_VALUE(token, Token), JAYDRIFT_VALUE(lease, Lease)>;
};

template<>
struct wire_format<erase_request>
{
    using message = erase_request;
    using schema = net::schema::EraseRequest;
    using table =
        field_list<JAYDRIFT_VALUE(key, Key),
                   JAYDRIFT_OPTIONAL(expected_revision, HasExpectedRevision,
                                     ExpectedRevision)>;
};

template<>
struct wire_format<read_request>
{
    using message = read_request;
    using schema = net::schema::ReadRequest;
    using table = field_list<JAYDRIFT_VALUE(prefix, Prefix)>;
};

template<>
struct wire_format<watch_request>
{
    using message = watch_request;
    using schema = net::schema::WatchRequest;
    using table = field_list<JAYDRIFT_VALUE(prefix, Prefix),
                             JAYDRIFT_VALUE(after_revision, AfterRevision)>;
};

template<>
struct wire_format<grant_lease_request>
{
    using message = grant_lease_request;
    using schema = net::schema::GrantLeaseRequest;
    using table = field_list<JAYDRIFT_VALUE(time_to_live, TimeToLiveMs)>;
};

template<>
struct wire_format<keep_alive_request>
{
    using message = keep_alive_request;
    using schema = net::schema::KeepAliveRequest;
    using table = field_list<JAYDRIFT_VALUE(lease, Lease)>;
};

template<>
struct wire_format<list_vms_request>
{
    using message = list_vms_request;
    using schema = net::schema::ListVmsRequest;
    using table = field_list<JAYDRIFT_VALUE(after_revision, AfterRevision)>;
};

template<>
struct wire_format<store_request>
{
    using schema = net::schema::StoreRequest;
    using table = union_member_list<
        JAYDRIFT_UNION_MEMBER(put_request, PUT, Put),
        JAYDRIFT_UNION_MEMBER(erase_request, ERASE, Erase),
        JAYDRIFT_UNION_MEMBER(read_request, READ, Read),
        JAYDRIFT_UNION_MEMBER(watch_request, WATCH, Watch),
        JAYDRIFT_UNION_MEMBER(grant_lease_request, GRANT_LEASE, GrantLease),
        JAYDRIFT_UNION_MEMBER(keep_alive_request, KEEP_ALIVE, KeepAlive),
        JAYDRIFT_UNION_MEMBER(list_vms_request, LIST_VMS, ListVms)>;
};

template<>
struct wire_format<store_entry>
{
    using message = store_entry;
    using schema = net::schema::StoreEntry;
    using table =
        field_list<JAYDRIFT_VALUE(key, Key), JAYDRIFT_VALUE(value, Value),
                   JAYDRIFT_VALUE(revision, Revision),
                   JAYDRIFT_VALUE(token, Token)>;
};

template<>
struct wire_format<vm_info>
{
    using message = vm_info;
    using schema = net::schema::VmInfo;
    using table = field_list<
        JAYDRIFT_VALUE(worker, Worker), JAYDRIFT_VALUE(address, Address),
        JAYDRIFT_VALUE(region, Region), JAYDRIFT_VALUE(zone, Zone),
        JAYDRIFT_VALUE(rack, Rack), JAYDRIFT_MESSAGE(capacity, Capacity),
        JAYDRIFT_VALUE(state, State)>;
};

template<>
struct wire_format<store_reply>
{
    using message = store_reply;
    using schema = net::schema::StoreReply;
    using table = field_list<
        JAYDRIFT_VALUE(outcome, Outcome), JAYDRIFT_VALUE(revision, Revision),
        JAYDRIFT_LIST(entries, Entries), JAYDRIFT_LIST(deleted, Deleted),
        JAYDRIFT_VALUE(lease, Lease), JAYDRIFT_LIST(vms, Vms)>;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_STORE_WIRE_HPP
