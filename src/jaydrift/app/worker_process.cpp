#include <jaydrift/app/worker_process.hpp>

#include <jaydrift/app/call_table.hpp>
#include <jaydrift/app/executor_client.hpp>
#include <jaydrift/app/standin_controls.hpp>
#include <jaydrift/app/standin_front_end.hpp>
#include <jaydrift/app/standin_runtime.hpp>
#include <jaydrift/app/standin_stats.hpp>
#include <jaydrift/app/worker_options.hpp>
#include <jaydrift/net/http_post.hpp>
#include <jaydrift/net/rpc_server.hpp>
#include <jaydrift/net/rpc_thread.hpp>
#include <jaydrift/net/worker_service.hpp>
#include <jaydrift/process/log.hpp>
#include <jaydrift/standin/reduce_worker.hpp>
#include <jaydrift/standin/worker_state.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <stdexcept>
#include <string>
#include <utility>
#include <variant>

#include "standin_support.hpp"

namespace jaydrift::app {

namespace {

using standin::worker_effect;
using standin::worker_event;
using standin::worker_state;

constexpr std::size_t http_threads = 4;
constexpr int status_ok = 200;
constexpr time_ms registration_timeout{5'000};

/// Returns the wall-clock time minus the time of the worker's clock.
time_ms wall_offset()
{
    using namespace std::chrono;
    auto const wall = duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    return time_ms(wall.count()) - jaydrift::steady_clock().now();
}

/// Returns the reply to a call that was not handled.
worker_reply refusal(worker_outcome outcome, std::string reason)
{
    worker_reply reply;
    reply.outcome = outcome;
    reply.reason = std::move(reason);
    return reply;
}

bool has_running_urgent_request(worker_state const& state)
{
    return std::any_of(state.running.begin(), state.running.end(),
                       [&](auto const& id) {
                           return state.runs.find(id)->second.task.priority
                                  == task_class::urgent;
                       });
}

} // namespace

class worker_process::impl
{
public:
    explicit impl(worker_options options)
        : options_(std::move(options)),
          runtime_(options_.vm.worker, options_.queue_capacity,
                   options_.timeline_events),
          calls_(options_.queue_capacity),
          executor_pool_(options_.executor_threads), rpc_port_(serve_daemons()),
          front_end_(http_settings_for(options_.listen_http, http_threads),
                     handlers())
    {
    }

    std::uint16_t rpc_port() const { return rpc_port_; }
    std::uint16_t http_port() const { return front_end_.port(); }

    void run()
    {
        auto const address = with_port(options_.listen, rpc_port_);
        log_listen_address("worker", "daemons", address);
        log_listen_address("worker", "controls",
                           with_port(options_.listen_http, http_port()));
        register_in_vm_list(address);
        worker_state initial;
        initial.settings = options_.reducer_settings;
        initial.settings.capacity = options_.vm.capacity;
        initial.usage_lag = options_.usage_lag;
        runtime_.run(std::move(initial), *this);
        close();
    }

    void request_stop()
    {
        stopping_ = true;
        runtime_.events().deliver(
            standin::set_worker_fault{standin::worker_fault::leave, 1});
    }

    /// Carries out an effect, on the control thread.
    void execute(worker_effect output)
    {
        std::visit([this](auto& effect) { run(std::move(effect)); }, output);
    }

    /// Answers reads of the counters, and ends a stop once no urgent request is
    /// running. Called on the control thread.
    void state_changed(worker_state const& state)
    {
        runtime_.serve_readers(state);
        if (stopping_ && state.leaving && !has_running_urgent_request(state))
        {
            runtime_.events().finish();
        }
    }

private:
    void run(standin::answer_worker_call effect)
    {
        calls_.answer(effect.number, std::move(effect.reply));
    }

    void run(standin::run_on_executor effect)
    {
        boost::asio::post(executor_pool_, [this, effect = std::move(effect)] {
            runtime_.events().deliver(execute_on_backend(
                options_.backend_address, effect, options_.executor_timeout));
        });
    }

    /// Does nothing: an HTTP request cannot be cancelled, and the reducer
    /// ignores the late answer.
    void run(standin::cancel_on_executor const&) {}

    void run(standin::record_event const& effect) { runtime_.record(effect); }

    /// Registers the worker, with `address` for its RPC server, in the VM list
    /// of the store, if one is set.
    ///
    /// @throws std::runtime_error if the VM list does not accept it.
    void register_in_vm_list(std::string_view address)
    {
        if (options_.vm_list_address.empty())
        {
            return;
        }
        auto vm = options_.vm;
        vm.address = address;
        auto const result =
            net::http_post(options_.vm_list_address,
                           "/control/register?" + registration_query(vm), {},
                           "", registration_timeout);
        auto const* response = std::get_if<net::http_response>(&result);
        if (response == nullptr || response->status != status_ok)
        {
            throw std::runtime_error(
                "the VM list at " + options_.vm_list_address
                + " did not accept the registration of this worker");
        }
    }

    /// Refuses the calls that were not handled and stops the servers once the
    /// answers are written.
    void close()
    {
        runtime_.events().drain([this](worker_event const& unhandled) {
            if (auto const* call =
                    std::get_if<standin::worker_called>(&unhandled))
            {
                calls_.answer(call->number, refusal(worker_outcome::leaving,
                                                    "the worker is stopping"));
            }
        });
        front_end_.stop();
        flush(server_thread_);
        server_thread_.stop();
        executor_pool_.join();
        process::log_line(log_level::info, "worker",
                          "The worker process is exiting.");
    }

    std::uint16_t serve_daemons()
    {
        return net::serve<net::worker_service>(
            server_thread_, options_.listen,
            [this](worker_request request,
                   net::responder<worker_reply> const& respond) {
                on_call(std::move(request), respond);
            });
    }

    /// Queues a call, or refuses it if too many calls are open or queued.
    void on_call(worker_request request,
                 net::responder<worker_reply> const& respond)
    {
        auto const number = calls_.add(respond);
        if (!number)
        {
            respond(
                refusal(worker_outcome::over_limit, "too many calls are open"));
            return;
        }
        if (!runtime_.events().post(
                standin::worker_called{*number, std::move(request)}))
        {
            calls_.answer(*number, refusal(worker_outcome::over_limit,
                                           "too many calls are waiting"));
        }
    }

    standin_handlers handlers()
    {
        return runtime_.handlers(
            worker_control,
            [this, offset = wall_offset()](worker_state const& state) {
                return stats_to_json(state, options_.vm, offset);
            });
    }

    worker_options const options_;
    standin_runtime<worker_state, worker_event, worker_effect> runtime_;
    call_table<worker_reply> calls_;
    std::atomic<bool> stopping_ = false;
    boost::asio::thread_pool executor_pool_;
    net::rpc_thread server_thread_;
    std::uint16_t const rpc_port_;
    standin_front_end front_end_;
};

worker_process::worker_process(worker_options options)
    : impl_(std::make_unique<impl>(std::move(options)))
{
}

worker_process::~worker_process() = default;

std::uint16_t worker_process::rpc_port() const { return impl_->rpc_port(); }
std::uint16_t worker_process::http_port() const { return impl_->http_port(); }
void worker_process::run() { impl_->run(); }
void worker_process::request_stop() { impl_->request_stop(); }

} // namespace jaydrift::app
