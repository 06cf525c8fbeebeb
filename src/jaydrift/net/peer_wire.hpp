#ifndef JAYDRIFT_NET_PEER_WIRE_HPP
#define JAYDRIFT_NET_PEER_WIRE_HPP

#include "job_wire.hpp"
#include "policy_wire.hpp"
#include "shard_wire.hpp"
#include "wire.hpp"

#include <jaydrift/core/peer_reply.hpp>
#include <jaydrift/core/peer_request.hpp>

#include <jaydrift.capnp.h>

/// Tables of the messages between daemons.
namespace jaydrift::net {

template<>
struct wire_enum<request_outcome>
{
    static constexpr auto last = request_outcome::unknown;
    static constexpr auto last_on_wire = schema::RequestOutcome::UNKNOWN;
};

template<>
struct wire_format<owned_shard>
{
    using message = owned_shard;
    using schema = net::schema::OwnedShard;
    using table =
        field_list<JAYDRIFT_MESSAGE(shard, Shard), JAYDRIFT_VALUE(epoch, Epoch),
                   JAYDRIFT_VALUE(policy_version, PolicyVersion)>;
};

template<>
struct wire_format<heartbeat>
{
    using message = heartbeat;
    using schema = net::schema::Heartbeat;
    using table = field_list<JAYDRIFT_MESSAGE(sender, Sender),
                             JAYDRIFT_VALUE(draining, Draining),
                             JAYDRIFT_VALUE(policy_version, PolicyVersion),
                             JAYDRIFT_LIST(shards, Shards),
                             JAYDRIFT_LIST(early_closed, EarlyClosed)>;
};

template<>
struct wire_format<urgent_request>
{
    using message = urgent_request;
    using schema = net::schema::UrgentRequest;
    using table =
        field_list<JAYDRIFT_VALUE(id, Id), JAYDRIFT_VALUE(kind, Kind),
                   JAYDRIFT_VALUE(home_region, HomeRegion),
                   JAYDRIFT_OPTIONAL(issued_at, HasIssuedAt, IssuedAtMs),
                   JAYDRIFT_VALUE(time_limit, PatienceMs),
                   JAYDRIFT_VALUE(payload, Payload)>;
};

template<>
struct wire_format<execute_request>
{
    using message = execute_request;
    using schema = net::schema::ExecuteRequest;
    using table = field_list<JAYDRIFT_MESSAGE(request, Request),
                             JAYDRIFT_VALUE(delegated, Delegated)>;
};

template<>
struct wire_format<query_request>
{
    using message = query_request;
    using schema = net::schema::QueryRequest;
    using table = field_list<JAYDRIFT_VALUE(request, Request)>;
};

template<>
struct wire_format<policy_update>
{
    using message = policy_update;
    using schema = net::schema::PolicyUpdate;
    using table = field_list<JAYDRIFT_MESSAGE(policy, Policy),
                             JAYDRIFT_VALUE(relay, Relay)>;
};

template<>
struct wire_format<request_result>
{
    using message = request_result;
    using schema = net::schema::RequestResult;
    using table = field_list<JAYDRIFT_VALUE(outcome, Outcome),
                             JAYDRIFT_VALUE(answer, Answer),
                             JAYDRIFT_VALUE(reason, Reason)>;
};

template<>
struct wire_format<request_record>
{
    using message = request_record;
    using schema = net::schema::RequestRecord;
    using table = field_list<
        JAYDRIFT_VALUE(id, Id), JAYDRIFT_VALUE(worker, Worker),
        JAYDRIFT_VALUE(attempt, Attempt), JAYDRIFT_VALUE(started, Started),
        JAYDRIFT_VALUE(finished, Finished), JAYDRIFT_MESSAGE(result, Result)>;
};

template<>
struct wire_format<hand_over_request>
{
    using message = hand_over_request;
    using schema = net::schema::HandOverRequest;
    using table =
        field_list<JAYDRIFT_MESSAGE(shard, Shard), JAYDRIFT_VALUE(epoch, Epoch),
                   JAYDRIFT_LIST(records, Records)>;
};

template<>
struct wire_format<peer_request>
{
    using schema = net::schema::PeerRequest;
    using table = union_member_list<
        JAYDRIFT_UNION_MEMBER(heartbeat, HEARTBEAT, Heartbeat),
        JAYDRIFT_UNION_MEMBER(execute_request, EXECUTE, Execute),
        JAYDRIFT_UNION_MEMBER(query_request, QUERY, Query),
        JAYDRIFT_UNION_MEMBER(job_request, JOB, Job),
        JAYDRIFT_UNION_MEMBER(policy_update, POLICY_UPDATE, PolicyUpdate),
        JAYDRIFT_UNION_MEMBER(hand_over_request, HAND_OVER, HandOver)>;
};

template<>
struct wire_format<peer_acknowledgement>
{
    using message = peer_acknowledgement;
    using schema = net::schema::PeerAcknowledgement;
    using table = field_list<JAYDRIFT_VALUE(accepted, Accepted)>;
};

template<>
struct wire_format<peer_reply>
{
    using schema = net::schema::PeerReply;
    using table = union_member_list<
        JAYDRIFT_UNION_MEMBER(peer_acknowledgement, ACKNOWLEDGEMENT,
                              Acknowledgement),
        JAYDRIFT_UNION_MEMBER(heartbeat, HEARTBEAT, Heartbeat),
        JAYDRIFT_UNION_MEMBER(request_result, RESULT, Result),
        JAYDRIFT_UNION_MEMBER(job_reply, JOB, Job)>;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_PEER_WIRE_HPP
