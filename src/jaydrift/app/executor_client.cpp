#include <jaydrift/app/executor_client.hpp>

#include <jaydrift/app/executor_headers.hpp>
#include <jaydrift/net/http_post.hpp>

#include <utility>
#include <variant>

namespace jaydrift::app {

namespace {

constexpr int status_ok = 200;
constexpr int status_service_unavailable = 503;

standin::executor_result result_of(int status)
{
    switch (status)
    {
    case status_ok:
        return standin::executor_result::finished;
    case status_service_unavailable:
        return standin::executor_result::not_run;
    default:
        return standin::executor_result::failed;
    }
}

} // namespace

standin::executor_answered
execute_on_backend(std::string_view backend,
                   standin::run_on_executor const& request, time_ms timeout)
{
    auto result =
        net::http_post(backend, "/execute",
                       {{std::string(executor_request_id_header), request.task},
                        {std::string(executor_kind_header), request.kind}},
                       request.payload, timeout);
    standin::executor_answered event{
        request.task, request.attempt, standin::executor_result::failed, {}};
    if (auto* response = std::get_if<net::http_response>(&result))
    {
        event.result = result_of(response->status);
        event.answer = std::move(response->body);
        return event;
    }
    if (std::get<net::rpc_failure>(result).never_sent)
    {
        event.result = standin::executor_result::not_run;
    }
    event.answer = "the backend server did not answer";
    return event;
}

} // namespace jaydrift::app
