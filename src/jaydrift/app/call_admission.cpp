#include <jaydrift/app/call_admission.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include <jaydrift/app/caller_clock.hpp>
#include <jaydrift/app/open_calls.hpp>
#include <jaydrift/app/timeline.hpp>
#include <jaydrift/app/type_names.hpp>
#include <jaydrift/process/metrics.hpp>

namespace jaydrift::app {

namespace {

constexpr std::string_view not_admitted_reason =
    "the daemon's queue is full or it is stopping; repeat the call, also to "
    "another daemon";

/// Returns the answer to a call that was shed, for each kind of call.
struct make_refusal
{
    request_result operator()(urgent_request const&) const
    {
        return {request_outcome::not_run, {}, std::string(not_admitted_reason)};
    }

    job_reply operator()(job_request const&) const
    {
        job_reply reply;
        reply.status = call_status::refused;
        reply.reason = "not_run: " + std::string(not_admitted_reason);
        return reply;
    }

    operator_reply operator()(operator_request const&) const
    {
        operator_reply reply;
        reply.status = call_status::refused;
        reply.reason = "not_run: " + std::string(not_admitted_reason);
        return reply;
    }

    peer_reply operator()(peer_request const& request) const
    {
        if (std::holds_alternative<execute_request>(request))
        {
            return (*this)(urgent_request());
        }
        if (auto const* job = std::get_if<job_request>(&request))
        {
            return (*this)(*job);
        }
        if (std::holds_alternative<query_request>(request))
        {
            // As the owner, this daemon may know the request, but its reducer
            // was not asked.
            return request_result{
                request_outcome::unknown, {}, std::string(not_admitted_reason)};
        }
        return peer_acknowledgement{false};
    }
};

} // namespace

call_admission::call_admission(process::event_queue<decide::event>& events,
                               open_calls& calls,
                               timeline const& event_timeline,
                               process::metrics& metrics)
    : events_(events), calls_(calls), timeline_(event_timeline),
      metrics_(metrics)
{
}

template<class CallEvent, class Table, class Request, class Respond>
void call_admission::admit(Table& table, Request request, Respond respond)
{
    auto refusal = make_refusal()(request);
    auto const number = table.add(respond);
    decide::event input = CallEvent{number.value_or(0), std::move(request)};
    auto const type = type_name(input);
    if (!number)
    {
        metrics_.count("shed_total", type);
        respond(std::move(refusal));
        return;
    }
    if (!events_.post(std::move(input)))
    {
        metrics_.count("shed_total", type);
        table.answer(*number, std::move(refusal));
        return;
    }
    metrics_.count("events_total", type);
}

void call_admission::on_request(urgent_request request,
                                net::responder<request_result> respond)
{
    to_monotonic_clock(request);
    admit<decide::request_arrived>(calls_.callers, std::move(request),
                                   std::move(respond));
}

void call_admission::on_job(job_request request,
                            net::responder<job_reply> respond)
{
    admit<decide::job_arrived>(calls_.jobs, std::move(request),
                               std::move(respond));
}

void call_admission::on_peer(peer_request request,
                             net::responder<peer_reply> respond)
{
    if (auto* const execute = std::get_if<execute_request>(&request))
    {
        to_monotonic_clock(execute->request);
    }
    admit<decide::peer_called>(calls_.peers, std::move(request),
                               std::move(respond));
}

void call_admission::on_operator(operator_request request,
                                 net::responder<operator_reply> respond)
{
    if (auto const* show = std::get_if<show_timeline>(&request))
    {
        operator_reply reply;
        reply.events = timeline_.events_after(show->after_sequence);
        respond(std::move(reply));
        return;
    }
    admit<decide::operator_called>(calls_.operators, std::move(request),
                                   std::move(respond));
}

void call_admission::refuse(decide::event const& unhandled)
{
    if (auto const* request_event =
            std::get_if<decide::request_arrived>(&unhandled))
    {
        calls_.callers.answer(request_event->call,
                              make_refusal()(request_event->request));
    }
    else if (auto const* job_event =
                 std::get_if<decide::job_arrived>(&unhandled))
    {
        calls_.jobs.answer(job_event->call, make_refusal()(job_event->request));
    }
    else if (auto const* peer_event =
                 std::get_if<decide::peer_called>(&unhandled))
    {
        calls_.peers.answer(peer_event->call,
                            make_refusal()(peer_event->request));
    }
    else if (auto const* operator_event =
                 std::get_if<decide::operator_called>(&unhandled))
    {
        calls_.operators.answer(operator_event->call,
                                make_refusal()(operator_event->request));
    }
}

} // namespace jaydrift::app
