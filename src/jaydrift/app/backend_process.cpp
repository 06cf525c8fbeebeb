#include <jaydrift/app/backend_process.hpp>

#include <jaydrift/app/backend_options.hpp>
#include <jaydrift/app/call_table.hpp>
#include <jaydrift/app/executor_headers.hpp>
#include <jaydrift/app/standin_controls.hpp>
#include <jaydrift/app/standin_front_end.hpp>
#include <jaydrift/app/standin_runtime.hpp>
#include <jaydrift/app/standin_stats.hpp>
#include <jaydrift/process/log.hpp>
#include <jaydrift/standin/backend_state.hpp>
#include <jaydrift/standin/reduce_backend.hpp>

#include <atomic>
#include <future>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "standin_support.hpp"

namespace jaydrift::app {

namespace {

using standin::backend_effect;
using standin::backend_event;
using standin::backend_state;

/// Limit of queued events and of open calls.
constexpr std::size_t queue_capacity = 1'024;

/// Returns an answer with status 503, after which the worker counts the request
/// as not run.
net::http_response refusal(std::string reason)
{
    return {503, {}, std::move(reason)};
}

} // namespace

class backend_process::impl
{
public:
    explicit impl(backend_options options)
        : options_(std::move(options)),
          runtime_(options_.name, queue_capacity, options_.timeline_events),
          calls_(queue_capacity),
          front_end_(
              http_settings_for(options_.listen_http, options_.http_threads),
              handlers())
    {
    }

    std::uint16_t http_port() const { return front_end_.port(); }

    void run()
    {
        log_listen_address("backend", "workers",
                           with_port(options_.listen_http, http_port()));
        backend_state initial;
        initial.settings = options_.reducer_settings;
        initial.random = random_source(options_.random_seed);
        runtime_.run(std::move(initial), *this);
        runtime_.events().drain([this](backend_event const& unhandled) {
            if (auto const* call =
                    std::get_if<standin::execute_called>(&unhandled))
            {
                calls_.answer(call->number, refusal("the server is stopping"));
            }
        });
        front_end_.stop();
        process::log_line(log_level::info, "backend",
                          "The backend server process is exiting.");
    }

    void request_stop()
    {
        stopping_ = true;
        runtime_.events().deliver(
            standin::set_backend_fault{standin::backend_fault::drain, 1});
    }

    /// Carries out an effect, on the control thread.
    void execute(backend_effect output)
    {
        std::visit([this](auto& effect) { run(std::move(effect)); }, output);
    }

    /// Answers reads of the counters, and ends a stop once no execution is
    /// running. Called on the control thread.
    void state_changed(backend_state const& state)
    {
        runtime_.serve_readers(state);
        if (stopping_ && state.draining && state.running.empty())
        {
            runtime_.events().finish();
        }
    }

private:
    void run(standin::answer_execution effect)
    {
        calls_.answer(effect.number,
                      {effect.status, {}, std::move(effect.body)});
    }

    void run(standin::record_event const& effect) { runtime_.record(effect); }

    /// Serves `POST /execute`: queues the execution and waits for its answer on
    /// the calling thread of the HTTP server.
    net::http_response execute_request(net::http_request request)
    {
        auto const id = request.header(executor_request_id_header);
        auto const kind = request.header(executor_kind_header);
        if (request.method != "POST" || request.path != "/execute" || !id
            || !kind)
        {
            return {400, {}, "POST /execute needs a request ID and a kind"};
        }
        std::promise<std::optional<net::http_response>> promise;
        auto answer = promise.get_future();
        auto const number = calls_.add(net::responder<net::http_response>(
            [&promise](std::optional<net::http_response> response) {
                promise.set_value(std::move(response));
            }));
        if (!number)
        {
            return refusal("too many calls are open");
        }
        if (!runtime_.events().post(standin::execute_called{
                *number, std::string(*id), std::string(*kind),
                std::move(request.body)}))
        {
            calls_.answer(*number, refusal("too many calls are waiting"));
        }
        return answer.get().value_or(net::http_response{500, {}, {}});
    }

    standin_handlers handlers()
    {
        auto result =
            runtime_.handlers(backend_control, [](backend_state const& state) {
                return stats_to_json(state);
            });
        result.fallback = [this](net::http_request request) {
            return execute_request(std::move(request));
        };
        return result;
    }

    backend_options const options_;
    standin_runtime<backend_state, backend_event, backend_effect> runtime_;
    call_table<net::http_response> calls_;
    std::atomic<bool> stopping_ = false;
    standin_front_end front_end_;
};

backend_process::backend_process(backend_options options)
    : impl_(std::make_unique<impl>(std::move(options)))
{
}

backend_process::~backend_process() = default;

std::uint16_t backend_process::http_port() const { return impl_->http_port(); }
void backend_process::run() { impl_->run(); }
void backend_process::request_stop() { impl_->request_stop(); }

} // namespace jaydrift::app
