#include <jaydrift/app/executor_client.hpp>

#include <jaydrift/app/executor_headers.hpp>
#include <jaydrift/net/http_post.hpp>

#include <utility>
#include <variant>

namespace jaydrift::app {

namespace {

constexpr int status_ok = 200;
constexpr int status_refused = 503;

standin::executor_result result_of(int status)
{
    switch (status)
    {
    case status_ok:
        return standin::executor_result::finished;
    case status_refused:
        return standin::executor_result::not_run;
    default:
        return standin::executor_result::failed;
    }
}

} // namespace

standin::executor_answered execute_on(std::string_view backend,
                                      standin::run_on_executor const& effect,
                                      time_ms timeout)
{
    auto result =
        net::http_post(backend, "/execute",
                       {{std::string(executor_request_header), effect.task},
                        {std::string(executor_kind_header), effect.kind}},
                       effect.payload, timeout);
    standin::executor_answered answered{
        effect.task, effect.attempt, standin::executor_result::failed, {}};
    if (auto* response = std::get_if<net::http_response>(&result))
    {
        answered.result = result_of(response->status);
        answered.answer = std::move(response->body);
        return answered;
    }
    if (std::get<net::rpc_failure>(result).never_sent)
    {
        answered.result = standin::executor_result::not_run;
    }
    answered.answer = "the backend server did not answer";
    return answered;
}

} // namespace jaydrift::app
