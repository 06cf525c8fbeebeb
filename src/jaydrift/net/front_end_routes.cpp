#include "front_end_routes.hpp"

#include "caller_headers.hpp"

#include <jaydrift/net/body_checksum.hpp>
#include <jaydrift/net/document_error.hpp>
#include <jaydrift/net/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <future>
#include <memory>
#include <optional>
#include <utility>

namespace jaydrift::net {

namespace {

constexpr std::string_view requests_path = "/v1/requests/";
constexpr std::string_view jobs_path = "/v1/jobs";

/// Added to a caller's time limit when a thread waits for the daemon's reply.
/// The daemon replies within the time limit; this bound keeps a fault in the
/// daemon from blocking the thread forever.
constexpr time_ms reply_grace{5000};

/// Longest wait for the reply to a job request, which may wait for the store.
constexpr time_ms job_reply_timeout{30000};

/// Calls a handler with a responder and waits for the reply. Returns nothing if
/// the responder is destroyed without one or `timeout` passes.
template<class Reply, class Call>
std::optional<Reply> wait_for_reply(time_ms timeout, Call const& call)
{
    using optional_reply = std::optional<Reply>;
    auto const promise = std::make_shared<std::promise<optional_reply>>();
    auto future = promise->get_future();
    call(responder<Reply>([promise](optional_reply reply) {
        promise->set_value(std::move(reply));
    }));
    if (future.wait_for(std::chrono::milliseconds(timeout.count()))
        != std::future_status::ready)
    {
        return std::nullopt;
    }
    return future.get();
}

/// Returns a response with one line of text.
http_response text_response(int status, std::string_view line)
{
    return {status, {{"Content-Type", "text/plain"}}, std::string(line) + '\n'};
}

/// Replaces each character that is not printable ASCII by a space, so that a
/// text cannot end a header.
std::string to_header_value(std::string_view text)
{
    std::string value(text);
    std::replace_if(
        value.begin(), value.end(),
        [](char character) { return character < ' ' || character > '~'; }, ' ');
    return value;
}

/// Formats the result of an urgent request.
http_response to_response(request_result result)
{
    struct outcome_response
    {
        int status;
        std::string name;
    };
    // In the order of the enumerators of `request_outcome`.
    static std::array const outcome_responses{
        outcome_response{200, "completed"}, outcome_response{503, "not_run"},
        outcome_response{504, "unknown"}};
    auto const& [status, name] =
        outcome_responses.at(static_cast<std::size_t>(result.outcome));
    http_headers headers{{"Jaydrift-Outcome", name},
                         {"Content-Type", "application/octet-stream"},
                         {checksum_header, body_checksum(result.answer)}};
    if (!result.reason.empty())
    {
        headers.emplace_back("Jaydrift-Reason", to_header_value(result.reason));
    }
    return {status, std::move(headers), std::move(result.answer)};
}

http_response run_request(front_end_handlers const& handlers,
                          std::string_view id, http_request request)
{
    auto urgent = parse_urgent_request(id, std::move(request));
    auto const timeout = urgent.time_limit + reply_grace;
    auto result = wait_for_reply<request_result>(
        timeout, [&](responder<request_result> const& respond) {
            handlers.on_request(std::move(urgent), respond);
        });
    return to_response(std::move(result).value_or(request_result{
        request_outcome::unknown, "", "the daemon gave no answer"}));
}

/// Returns the HTTP status for a job reply; `success_status` if the request was
/// carried out.
int job_status_code(job_reply const& reply, int success_status)
{
    switch (reply.status)
    {
    case call_status::ok:
        return success_status;
    case call_status::conflict:
        return 409;
    case call_status::not_found:
        return 404;
    case call_status::pending:
        return 504;
    case call_status::refused:
        break;
    }
    return reply.reason.starts_with("not_run") ? 503 : 400;
}

/// Returns the value of `Jaydrift-Outcome` for the status of a job response.
std::string_view job_outcome_name(int status)
{
    return status < 300 ? "completed" : status == 504 ? "unknown" : "not_run";
}

/// Passes a job request to the daemon and formats its reply.
http_response run_job(front_end_handlers const& handlers, job_request request,
                      int success_status)
{
    auto const received = wait_for_reply<job_reply>(
        job_reply_timeout, [&](responder<job_reply> const& respond) {
            handlers.on_job(std::move(request), respond);
        });
    auto const& reply = received.value_or(
        job_reply{call_status::pending, "the daemon gave no answer", {}});
    int const status = job_status_code(reply, success_status);
    auto response = text_response(status, reply.reason);
    if (status == success_status)
    {
        response = {status,
                    {{"Content-Type", "application/json"}},
                    print_job_status(reply.job) + '\n'};
    }
    else
    {
        response.headers.emplace_back("Jaydrift-Reason",
                                      to_header_value(reply.reason));
    }
    response.headers.emplace_back("Jaydrift-Outcome", job_outcome_name(status));
    return response;
}

http_response submit_job(front_end_handlers const& handlers,
                         http_request const& request)
{
    auto job = parse_job(request.body);
    if (job.home_region.empty())
    {
        job.home_region = parse_home_region(request);
    }
    job.id = check_id(job.id, "id");
    return run_job(handlers, std::move(job), 202);
}

/// Shows or cancels the job that the path names.
http_response route_job(front_end_handlers const& handlers, std::string_view id,
                        http_request const& request)
{
    auto name = check_id(id, "job ID");
    if (request.method == "GET")
    {
        return run_job(handlers,
                       show_job{std::move(name), parse_home_region(request)},
                       200);
    }
    if (request.method == "DELETE")
    {
        return run_job(handlers,
                       cancel_job{std::move(name), parse_home_region(request)},
                       200);
    }
    return text_response(405, "expected GET or DELETE");
}

/// Answers `/health` or `/metrics`.
http_response health_or_metrics(front_end_handlers const& handlers,
                                std::string_view path)
{
    if (path == "/metrics")
    {
        return {200,
                {{"Content-Type", "text/plain; version=0.0.4"}},
                handlers.metrics()};
    }
    return handlers.ready() ? text_response(200, "ok")
                            : text_response(503, "draining");
}

/// Calls the function for the path and the method.
///
/// @throws request_field_error, document_error if the request is invalid.
http_response dispatch(front_end_handlers const& handlers, http_request request)
{
    std::string const path = request.path;
    std::string_view path_suffix = path;
    bool const is_get = request.method == "GET";
    bool const is_post = request.method == "POST";
    if (path == "/health" || path == "/metrics")
    {
        return is_get ? health_or_metrics(handlers, path)
                      : text_response(405, "expected GET");
    }
    if (path_suffix.starts_with(requests_path))
    {
        path_suffix.remove_prefix(requests_path.size());
        return is_post ? run_request(handlers, path_suffix, std::move(request))
                       : text_response(405, "expected POST");
    }
    if (path_suffix == jobs_path)
    {
        return is_post ? submit_job(handlers, request)
                       : text_response(405, "expected POST");
    }
    if (path_suffix.starts_with(jobs_path)
        && path_suffix[jobs_path.size()] == '/')
    {
        path_suffix.remove_prefix(jobs_path.size() + 1);
        return route_job(handlers, path_suffix, request);
    }
    return text_response(404, "no such path");
}

http_response bad_request(std::string_view reason)
{
    auto response = text_response(400, reason);
    response.headers.emplace_back("Jaydrift-Outcome", "not_run");
    response.headers.emplace_back("Jaydrift-Reason", to_header_value(reason));
    return response;
}

} // namespace

http_response handle_caller_request(front_end_handlers const& handlers,
                                    http_request request)
{
    try
    {
        return dispatch(handlers, std::move(request));
    }
    catch (request_field_error const& error)
    {
        return bad_request(error.what());
    }
    catch (document_error const& error)
    {
        return bad_request(error.what());
    }
}

} // namespace jaydrift::net
