#include <jaydrift/app/store_process.hpp>

#include <jaydrift/app/droppable_calls.hpp>
#include <jaydrift/app/standin_controls.hpp>
#include <jaydrift/app/standin_front_end.hpp>
#include <jaydrift/app/standin_runtime.hpp>
#include <jaydrift/app/standin_stats.hpp>
#include <jaydrift/app/store_options.hpp>
#include <jaydrift/net/rpc_server.hpp>
#include <jaydrift/net/rpc_thread.hpp>
#include <jaydrift/net/store_service.hpp>
#include <jaydrift/standin/reduce_store.hpp>
#include <jaydrift/standin/store_state.hpp>

#include <string>
#include <utility>
#include <variant>

#include "standin_support.hpp"

namespace jaydrift::app {

namespace {

using standin::store_effect;
using standin::store_event;
using standin::store_state;

/// Limit of queued events. A longer backlog means that the store is too slow
/// for its callers in any case.
constexpr std::size_t queue_capacity = 10'000;

constexpr std::size_t http_threads = 8;

/// Returns the reply to a call that was not handled.
store_reply refusal()
{
    store_reply reply;
    reply.outcome = store_outcome::overloaded;
    return reply;
}

} // namespace

class store_process::impl
{
public:
    explicit impl(store_options options)
        : options_(std::move(options)),
          runtime_("store", queue_capacity, options_.timeline_events),
          rpc_port_(serve_daemons()),
          front_end_(http_settings_for(options_.listen_http, http_threads),
                     handlers())
    {
    }

    std::uint16_t rpc_port() const { return rpc_port_; }
    std::uint16_t http_port() const { return front_end_.port(); }

    void run()
    {
        log_listen_address("store", "daemons",
                           with_port(options_.listen, rpc_port_));
        log_listen_address("store", "controls",
                           with_port(options_.listen_http, http_port()));
        store_state initial;
        initial.settings = options_.reducer_settings;
        initial.settings.outage_suspends_leases =
            !options_.outage_expires_leases;
        runtime_.run(std::move(initial), *this);
        runtime_.events().drain([this](store_event const& unhandled) {
            if (auto const* call =
                    std::get_if<standin::store_called>(&unhandled))
            {
                calls_.answer(call->number, refusal());
            }
        });
        front_end_.stop();
        flush(server_thread_);
        server_thread_.stop();
    }

    void request_stop() { runtime_.events().finish(); }

    /// Carries out an effect, on the control thread.
    void execute(store_effect output)
    {
        std::visit([this](auto& effect) { run(std::move(effect)); }, output);
    }

    /// Answers reads of the counters. Called on the control thread.
    void state_changed(store_state const& state)
    {
        runtime_.serve_readers(state);
    }

private:
    void run(standin::answer_store_call effect)
    {
        calls_.answer(effect.number, std::move(effect.reply));
    }

    void run(standin::drop_store_call effect) { calls_.drop(effect.number); }

    void run(standin::record_event const& effect) { runtime_.record(effect); }

    std::uint16_t serve_daemons()
    {
        return net::serve<net::store_service>(
            server_thread_, options_.listen,
            [this](store_request request, net::responder<store_reply> respond) {
                auto const number = calls_.add(std::move(respond));
                if (!runtime_.events().post(
                        standin::store_called{number, std::move(request)}))
                {
                    calls_.answer(number, refusal());
                }
            });
    }

    standin_handlers handlers()
    {
        return runtime_.handlers(store_control, [](store_state const& state) {
            return stats_to_json(state);
        });
    }

    store_options const options_;
    standin_runtime<store_state, store_event, store_effect> runtime_;
    droppable_calls<store_reply> calls_;
    net::rpc_thread server_thread_;
    std::uint16_t const rpc_port_;
    standin_front_end front_end_;
};

store_process::store_process(store_options options)
    : impl_(std::make_unique<impl>(std::move(options)))
{
}

store_process::~store_process() = default;

std::uint16_t store_process::rpc_port() const { return impl_->rpc_port(); }
std::uint16_t store_process::http_port() const { return impl_->http_port(); }
void store_process::run() { impl_->run(); }
void store_process::request_stop() { impl_->request_stop(); }

} // namespace jaydrift::app
