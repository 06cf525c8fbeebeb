#ifndef JAYDRIFT_NET_OPERATOR_WIRE_HPP
#define JAYDRIFT_NET_OPERATOR_WIRE_HPP

#include "job_wire.hpp"
#include "policy_wire.hpp"
#include "shard_wire.hpp"
#include "wire.hpp"

#include <jaydrift/core/operator_reply.hpp>
#include <jaydrift/core/operator_request.hpp>

#include <jaydrift.capnp.h>

/// Tables of the messages between operators and daemons.
namespace jaydrift::net {

template<>
struct wire_format<apply_policy>
{
    using message = apply_policy;
    using schema = net::schema::ApplyPolicy;
    using table = field_list<JAYDRIFT_MESSAGE(policy, Policy),
                             JAYDRIFT_VALUE(based_on, BasedOn),
                             JAYDRIFT_VALUE(token, Token)>;
};

template<>
struct wire_format<undo_policy>
{
    using message = undo_policy;
    using schema = net::schema::UndoPolicy;
    using table = field_list<JAYDRIFT_VALUE(based_on, BasedOn),
                             JAYDRIFT_VALUE(token, Token)>;
};

template<>
struct wire_format<set_zone>
{
    using message = set_zone;
    using schema = net::schema::SetZone;
    using table =
        field_list<JAYDRIFT_VALUE(zone, Zone), JAYDRIFT_VALUE(open, Open),
                   JAYDRIFT_VALUE(token, Token)>;
};

template<>
struct wire_format<show_policy>
{
    using message = show_policy;
    using schema = net::schema::ShowPolicy;
    using table = field_list<>;
};

template<>
struct wire_format<show_status>
{
    using message = show_status;
    using schema = net::schema::ShowStatus;
    using table = field_list<>;
};

template<>
struct wire_format<show_timeline>
{
    using message = show_timeline;
    using schema = net::schema::ShowTimeline;
    using table = field_list<JAYDRIFT_VALUE(after_sequence, AfterSequence)>;
};

template<>
struct wire_format<operator_request>
{
    using schema = net::schema::OperatorRequest;
    using table = union_member_list<
        JAYDRIFT_UNION_MEMBER(apply_policy, APPLY_POLICY, ApplyPolicy),
        JAYDRIFT_UNION_MEMBER(undo_policy, UNDO_POLICY, UndoPolicy),
        JAYDRIFT_UNION_MEMBER(set_zone, SET_ZONE, SetZone),
        JAYDRIFT_UNION_MEMBER(show_policy, SHOW_POLICY, ShowPolicy),
        JAYDRIFT_UNION_MEMBER(show_status, SHOW_STATUS, ShowStatus),
        JAYDRIFT_UNION_MEMBER(show_timeline, SHOW_TIMELINE, ShowTimeline),
        JAYDRIFT_UNION_MEMBER(job_request, JOB, Job)>;
};

template<>
struct wire_format<member_status>
{
    using message = member_status;
    using schema = net::schema::MemberStatus;
    using table =
        field_list<JAYDRIFT_MESSAGE(member, Member), JAYDRIFT_VALUE(live, Live),
                   JAYDRIFT_VALUE(draining, Draining)>;
};

template<>
struct wire_format<shard_status>
{
    using message = shard_status;
    using schema = net::schema::ShardStatus;
    using table =
        field_list<JAYDRIFT_MESSAGE(shard, Shard), JAYDRIFT_VALUE(epoch, Epoch),
                   JAYDRIFT_VALUE(owner, Owner), JAYDRIFT_VALUE(state, State),
                   JAYDRIFT_VALUE(workers, Workers),
                   JAYDRIFT_VALUE(running_urgent, RunningUrgent),
                   JAYDRIFT_VALUE(running_batch, RunningBatch),
                   JAYDRIFT_VALUE(waiting_batch, WaitingBatch)>;
};

template<>
struct wire_format<timeline_event>
{
    using message = timeline_event;
    using schema = net::schema::TimelineEvent;
    using table =
        field_list<JAYDRIFT_VALUE(at, AtMs), JAYDRIFT_VALUE(sequence, Sequence),
                   JAYDRIFT_VALUE(process, Process), JAYDRIFT_VALUE(name, Name),
                   JAYDRIFT_VALUE(request, Request), JAYDRIFT_VALUE(task, Task),
                   JAYDRIFT_VALUE(detail, Detail)>;
};

template<>
struct wire_format<operator_reply>
{
    using message = operator_reply;
    using schema = net::schema::OperatorReply;
    using table = field_list<
        JAYDRIFT_VALUE(status, Status), JAYDRIFT_VALUE(reason, Reason),
        JAYDRIFT_VALUE(version, Version), JAYDRIFT_MESSAGE(policy, Policy),
        JAYDRIFT_LIST(members, Members), JAYDRIFT_LIST(shards, Shards),
        JAYDRIFT_LIST(events, Events), JAYDRIFT_MESSAGE(job, Job)>;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_OPERATOR_WIRE_HPP
