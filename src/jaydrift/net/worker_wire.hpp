#ifndef JAYDRIFT_NET_WORKER_WIRE_HPP
#define JAYDRIFT_NET_WORKER_WIRE_HPP

#include "policy_wire.hpp"
#include "shard_wire.hpp"
#include "wire.hpp"

#include <jaydrift/core/worker_reply.hpp>
#include <jaydrift/core/worker_request.hpp>

#include <jaydrift.capnp.h>

/// Tables of the messages between daemons and workers.
namespace jaydrift::net {

template<>
struct wire_enum<task_action>
{
    static constexpr auto last = task_action::cancel;
    static constexpr auto last_on_wire = schema::TaskAction::CANCEL;
};

template<>
struct wire_enum<task_state>
{
    static constexpr auto last = task_state::lease_lapsed;
    static constexpr auto last_on_wire = schema::TaskState::LEASE_LAPSED;
};

template<>
struct wire_enum<worker_outcome>
{
    static constexpr auto last = worker_outcome::failed;
    static constexpr auto last_on_wire = schema::WorkerOutcome::FAILED;
};

template<>
struct wire_format<task_spec>
{
    using message = task_spec;
    using schema = net::schema::TaskSpec;
    using table = field_list<JAYDRIFT_VALUE(id, Id), JAYDRIFT_VALUE(kind, Kind),
                             JAYDRIFT_VALUE(team, Team),
                             JAYDRIFT_VALUE(priority, Priority),
                             JAYDRIFT_MESSAGE(demand, Demand),
                             JAYDRIFT_VALUE(run_time_ms, RunTimeMs),
                             JAYDRIFT_VALUE(checkpoint_ms, CheckpointMs)>;
};

template<>
struct wire_format<fence_request>
{
    using message = fence_request;
    using schema = net::schema::FenceRequest;
    using table = field_list<JAYDRIFT_MESSAGE(term, Term)>;
};

template<>
struct wire_format<renew_request>
{
    using message = renew_request;
    using schema = net::schema::RenewRequest;
    using table = field_list<JAYDRIFT_MESSAGE(term, Term),
                             JAYDRIFT_VALUE(lease_until, LeaseUntilMs),
                             JAYDRIFT_VALUE(policy_version, PolicyVersion),
                             JAYDRIFT_LIST(acknowledged, Acknowledged)>;
};

template<>
struct wire_format<start_request>
{
    using message = start_request;
    using schema = net::schema::StartRequest;
    using table =
        field_list<JAYDRIFT_MESSAGE(term, Term), JAYDRIFT_MESSAGE(task, Task),
                   JAYDRIFT_VALUE(attempt, Attempt),
                   JAYDRIFT_VALUE(start_before, StartBeforeMs),
                   JAYDRIFT_VALUE(payload, Payload)>;
};

template<>
struct wire_format<task_action_request>
{
    using message = task_action_request;
    using schema = net::schema::ControlRequest;
    using table =
        field_list<JAYDRIFT_MESSAGE(term, Term), JAYDRIFT_VALUE(task, Task),
                   JAYDRIFT_VALUE(attempt, Attempt),
                   JAYDRIFT_VALUE(action, Action)>;
};

template<>
struct wire_format<worker_request>
{
    using schema = net::schema::WorkerRequest;
    using table =
        union_member_list<JAYDRIFT_UNION_MEMBER(fence_request, FENCE, Fence),
                          JAYDRIFT_UNION_MEMBER(renew_request, RENEW, Renew),
                          JAYDRIFT_UNION_MEMBER(start_request, START, Start),
                          JAYDRIFT_UNION_MEMBER(task_action_request, CONTROL,
                                                Control)>;
};

template<>
struct wire_format<task_report>
{
    using message = task_report;
    using schema = net::schema::TaskReport;
    using table =
        field_list<JAYDRIFT_MESSAGE(task, Task),
                   JAYDRIFT_VALUE(attempt, Attempt),
                   JAYDRIFT_VALUE(state, State), JAYDRIFT_MESSAGE(shard, Shard),
                   JAYDRIFT_VALUE(checkpoint_ms, CheckpointMs),
                   JAYDRIFT_VALUE(answer, Answer)>;
};

template<>
struct wire_format<task_usage>
{
    using message = task_usage;
    using schema = net::schema::TaskUsage;
    using table =
        field_list<JAYDRIFT_VALUE(task, Task), JAYDRIFT_VALUE(kind, Kind),
                   JAYDRIFT_VALUE(millicores, Millicores),
                   JAYDRIFT_VALUE(memory_mb, MemoryMb),
                   JAYDRIFT_VALUE(slowdown_permille, SlowdownPermille)>;
};

template<>
struct wire_format<usage_report>
{
    using message = usage_report;
    using schema = net::schema::UsageReport;
    using table = field_list<JAYDRIFT_VALUE(generation, Generation),
                             JAYDRIFT_VALUE(measured_at, MeasuredAtMs),
                             JAYDRIFT_LIST(tasks, Tasks)>;
};

template<>
struct wire_format<worker_reply>
{
    using message = worker_reply;
    using schema = net::schema::WorkerReply;
    using table = field_list<
        JAYDRIFT_VALUE(outcome, Outcome), JAYDRIFT_VALUE(reason, Reason),
        JAYDRIFT_VALUE(worker_clock, WorkerClockMs),
        JAYDRIFT_VALUE(history_complete, RemembersAll),
        JAYDRIFT_VALUE(epoch, Epoch),
        JAYDRIFT_VALUE(policy_version, PolicyVersion),
        JAYDRIFT_MESSAGE(capacity, Capacity), JAYDRIFT_MESSAGE(used, Used),
        JAYDRIFT_VALUE(leaving, Leaving), JAYDRIFT_LIST(tasks, Tasks),
        JAYDRIFT_MESSAGE(usage, Usage), JAYDRIFT_VALUE(answer, Answer)>;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_WORKER_WIRE_HPP
