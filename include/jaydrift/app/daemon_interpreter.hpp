#ifndef JAYDRIFT_APP_DAEMON_INTERPRETER_HPP
#define JAYDRIFT_APP_DAEMON_INTERPRETER_HPP

#include <atomic>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>

#include <jaydrift/app/caller_clock.hpp>
#include <jaydrift/app/daemon_transport.hpp>
#include <jaydrift/app/open_calls.hpp>
#include <jaydrift/app/timeline.hpp>
#include <jaydrift/app/type_names.hpp>
#include <jaydrift/decide/daemon_state.hpp>
#include <jaydrift/decide/effect.hpp>
#include <jaydrift/decide/event.hpp>
#include <jaydrift/decide/stop.hpp>
#include <jaydrift/process/event_queue.hpp>
#include <jaydrift/process/log.hpp>
#include <jaydrift/process/metrics.hpp>

namespace jaydrift::app {

/// Carries out the effects of the daemon's reducer: sends requests and turns
/// their results into events, answers calls, and writes logs, metrics and the
/// timeline. Runs on the control thread; results arrive on any thread.
template<daemon_transport Transport>
class daemon_interpreter
{
public:
    /// The arguments must outlive the interpreter and every open request.
    daemon_interpreter(Transport& transport,
                       process::event_queue<decide::event>& events,
                       open_calls& calls, timeline& event_timeline,
                       process::metrics& metrics)
        : transport_(transport), events_(events), calls_(calls),
          timeline_(event_timeline), metrics_(metrics)
    {
    }

    void execute(decide::effect output)
    {
        metrics_.count("effects_total", type_name(output));
        std::visit([this](auto& effect) { run(std::move(effect)); }, output);
    }

    /// Publishes whether a planned stop has begun.
    void state_changed(decide::daemon_state const& state)
    {
        stopping_ = decide::stop::requested(state);
    }

    /// Returns whether a planned stop has begun. Safe on any thread.
    bool stopping() const { return stopping_; }

private:
    void run(decide::send_worker effect)
    {
        transport_.call_worker(
            std::move(effect.address), std::move(effect.request),
            effect.timeout,
            [this, worker = std::move(effect.worker),
             correlation =
                 effect.correlation](net::rpc_result<worker_reply> result) {
                deliver_result<decide::worker_replied, decide::worker_failed>(
                    std::move(result), worker, correlation);
            });
    }

    void run(decide::send_peer effect)
    {
        if (auto* const execute = std::get_if<execute_request>(&effect.request))
        {
            to_wall_clock(execute->request);
        }
        transport_.call_peer(
            std::move(effect.address), std::move(effect.request),
            effect.timeout,
            [this, daemon = std::move(effect.daemon),
             correlation =
                 effect.correlation](net::rpc_result<peer_reply> result) {
                deliver_result<decide::peer_replied, decide::peer_failed>(
                    std::move(result), daemon, correlation);
            });
    }

    void run(decide::send_store effect)
    {
        transport_.call_store(
            std::move(effect.request), effect.timeout,
            [this, correlation = effect.correlation](
                net::rpc_result<store_reply> result) {
                deliver_result<decide::store_replied, decide::store_failed>(
                    std::move(result), correlation);
            });
    }

    void run(decide::answer_caller effect)
    {
        count_if_not_open(
            calls_.callers.answer(effect.call, std::move(effect.result)));
    }

    void run(decide::answer_job effect)
    {
        count_if_not_open(
            calls_.jobs.answer(effect.call, std::move(effect.reply)));
    }

    void run(decide::answer_operator effect)
    {
        count_if_not_open(
            calls_.operators.answer(effect.call, std::move(effect.reply)));
    }

    void run(decide::answer_peer effect)
    {
        count_if_not_open(
            calls_.peers.answer(effect.call, std::move(effect.reply)));
    }

    void run(decide::write_log const& effect)
    {
        process::log_line(effect.level, effect.part, effect.text);
    }

    void run(decide::record_event const& effect)
    {
        timeline_.record(effect.name, effect.request, effect.task,
                         effect.detail);
    }

    void run(decide::observe const& effect)
    {
        metrics_.observe(effect.metric, effect.value);
    }

    void run(decide::exit_process) { events_.finish(); }

    /// Delivers a result as a `Replied` or `Failed` event. `leading_fields` are
    /// the fields before the reply or the failure.
    template<class Replied, class Failed, class Reply, class... Fields>
    void deliver_result(net::rpc_result<Reply> result,
                        Fields const&... leading_fields)
    {
        if (auto* reply = std::get_if<Reply>(&result))
        {
            deliver(Replied{leading_fields..., std::move(*reply)});
            return;
        }
        auto const& failure = std::get<net::rpc_failure>(result);
        metrics_.count("calls_failed_total",
                       failure.never_sent ? "never_sent" : "answer_lost");
        deliver(Failed{leading_fields..., failure.never_sent});
    }

    void deliver(decide::event input)
    {
        metrics_.count("events_total", type_name(input));
        events_.deliver(std::move(input));
    }

    /// Counts an answer to a call that is not open. This is a fault of the
    /// reducer; the caller keeps its first answer.
    void count_if_not_open(bool was_open)
    {
        if (!was_open)
        {
            metrics_.count("answers_dropped_total", "not_open");
        }
    }

    Transport& transport_;
    process::event_queue<decide::event>& events_;
    open_calls& calls_;
    timeline& timeline_;
    process::metrics& metrics_;
    std::atomic<bool> stopping_ = false;
};

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_DAEMON_INTERPRETER_HPP
