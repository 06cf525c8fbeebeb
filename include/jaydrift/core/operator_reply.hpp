#ifndef JAYDRIFT_CORE_OPERATOR_REPLY_HPP
#define JAYDRIFT_CORE_OPERATOR_REPLY_HPP

#include <jaydrift/core/call_status.hpp>
#include <jaydrift/core/job_status.hpp>
#include <jaydrift/core/member_status.hpp>
#include <jaydrift/core/policy_document.hpp>
#include <jaydrift/core/shard_status.hpp>
#include <jaydrift/core/timeline_event.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace jaydrift {

/// Reply to any request of an operator.
struct operator_reply
{
    call_status status = call_status::ok;

    /// Why the request was refused or is pending. For an invalid policy, it
    /// begins with the path of the wrong field.
    std::string reason;

    /// Current version for policies, including on a conflict.
    std::uint64_t version = 0;
    policy_document policy;
    std::vector<member_status> members;
    std::vector<shard_status> shards;
    std::vector<timeline_event> events;
    job_status job;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_OPERATOR_REPLY_HPP
