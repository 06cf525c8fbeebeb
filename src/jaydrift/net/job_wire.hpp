#ifndef JAYDRIFT_NET_JOB_WIRE_HPP
#define JAYDRIFT_NET_JOB_WIRE_HPP

#include "policy_wire.hpp"
#include "wire.hpp"

#include <jaydrift/core/call_status.hpp>
#include <jaydrift/core/cancel_job.hpp>
#include <jaydrift/core/job_reply.hpp>
#include <jaydrift/core/job_request.hpp>
#include <jaydrift/core/job_spec.hpp>
#include <jaydrift/core/job_state.hpp>
#include <jaydrift/core/job_status.hpp>
#include <jaydrift/core/show_job.hpp>

#include <jaydrift.capnp.h>

/// Tables of the messages about jobs.
namespace jaydrift::net {

template<>
struct wire_enum<call_status>
{
    static constexpr auto last = call_status::not_found;
    static constexpr auto last_on_wire = schema::CallStatus::NOT_FOUND;
};

template<>
struct wire_enum<job_state>
{
    static constexpr auto last = job_state::parked;
    static constexpr auto last_on_wire = schema::JobState::PARKED;
};

template<>
struct wire_format<job_spec>
{
    using message = job_spec;
    using schema = net::schema::JobSpec;
    using table = field_list<
        JAYDRIFT_VALUE(id, Id), JAYDRIFT_VALUE(kind, Kind),
        JAYDRIFT_VALUE(team, Team), JAYDRIFT_VALUE(home_region, HomeRegion),
        JAYDRIFT_VALUE(task_count, TaskCount), JAYDRIFT_MESSAGE(demand, Demand),
        JAYDRIFT_VALUE(run_time_ms, RunTimeMs)>;
};

template<>
struct wire_format<job_status>
{
    using message = job_status;
    using schema = net::schema::JobStatus;
    using table = field_list<
        JAYDRIFT_VALUE(id, Id), JAYDRIFT_VALUE(state, State),
        JAYDRIFT_VALUE(task_count, TaskCount),
        JAYDRIFT_VALUE(finished, Finished), JAYDRIFT_VALUE(running, Running),
        JAYDRIFT_VALUE(evictions, Evictions), JAYDRIFT_VALUE(reason, Reason)>;
};

template<>
struct wire_format<show_job>
{
    using message = show_job;
    using schema = net::schema::ShowJob;
    using table = field_list<JAYDRIFT_VALUE(id, Id),
                             JAYDRIFT_VALUE(home_region, HomeRegion)>;
};

template<>
struct wire_format<cancel_job>
{
    using message = cancel_job;
    using schema = net::schema::CancelJob;
    using table = field_list<JAYDRIFT_VALUE(id, Id),
                             JAYDRIFT_VALUE(home_region, HomeRegion)>;
};

template<>
struct wire_format<job_request>
{
    using schema = net::schema::JobRequest;
    using table =
        union_member_list<JAYDRIFT_UNION_MEMBER(job_spec, SUBMIT, Submit),
                          JAYDRIFT_UNION_MEMBER(show_job, SHOW, Show),
                          JAYDRIFT_UNION_MEMBER(cancel_job, CANCEL, Cancel)>;
};

template<>
struct wire_format<job_reply>
{
    using message = job_reply;
    using schema = net::schema::JobReply;
    using table =
        field_list<JAYDRIFT_VALUE(status, Status),
                   JAYDRIFT_VALUE(reason, Reason), JAYDRIFT_MESSAGE(job, Job)>;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_JOB_WIRE_HPP
