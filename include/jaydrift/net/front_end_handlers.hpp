#ifndef JAYDRIFT_NET_FRONT_END_HANDLERS_HPP
#define JAYDRIFT_NET_FRONT_END_HANDLERS_HPP

#include <jaydrift/core/job_reply.hpp>
#include <jaydrift/core/job_request.hpp>
#include <jaydrift/core/request_result.hpp>
#include <jaydrift/core/urgent_request.hpp>
#include <jaydrift/net/responder.hpp>

#include <functional>
#include <string>

namespace jaydrift::net {

/// What a front end does with requests; called on threads of its pool.
struct front_end_handlers
{
    std::function<void(urgent_request, responder<request_result>)> on_request;
    std::function<void(job_request, responder<job_reply>)> on_job;
    /// Tells `/health` whether the daemon takes requests.
    std::function<bool()> ready;
    /// The text of `/metrics`.
    std::function<std::string()> metrics;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_FRONT_END_HANDLERS_HPP
