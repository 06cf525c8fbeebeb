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

/// Callbacks through which a front end hands requests to the daemon.
///
/// They are called on the threads of the front end's pool, several at a time.
struct front_end_handlers
{
    /// Take a request and the responder for it. They may send the reply later,
    /// from any thread.
    std::function<void(urgent_request, responder<request_result>)> on_request;
    std::function<void(job_request, responder<job_reply>)> on_job;
    /// Tells whether the daemon takes requests. While it is false, `/health`
    /// answers 503 and connections close after their next response.
    std::function<bool()> ready;
    /// Returns the body of `/metrics`, in the Prometheus text format.
    std::function<std::string()> metrics;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_FRONT_END_HANDLERS_HPP
