#ifndef JAYDRIFT_APP_CALL_ADMISSION_HPP
#define JAYDRIFT_APP_CALL_ADMISSION_HPP

#include <jaydrift/core/job_request.hpp>
#include <jaydrift/core/operator_request.hpp>
#include <jaydrift/core/peer_request.hpp>
#include <jaydrift/core/urgent_request.hpp>
#include <jaydrift/decide/event.hpp>
#include <jaydrift/net/responder.hpp>
#include <jaydrift/process/event_queue.hpp>

namespace jaydrift {
struct job_reply;
struct operator_reply;
struct request_result;
} // namespace jaydrift

namespace jaydrift::process {
class metrics;
} // namespace jaydrift::process

namespace jaydrift::app {

struct open_calls;
class timeline;

/// Turns the calls of callers, peers and operators into events for the reducer.
/// If the event queue is full or closed, or the table of open calls is full, it
/// sheds the call: it answers at once that the call was not run, or, to a
/// query, that the outcome is unknown. Safe on any thread.
class call_admission
{
public:
    /// The arguments must outlive this object.
    call_admission(process::event_queue<decide::event>& events,
                   open_calls& calls, timeline const& event_timeline,
                   process::metrics& metrics);

    void on_request(urgent_request request,
                    net::responder<request_result> respond);
    void on_job(job_request request, net::responder<job_reply> respond);
    void on_peer(peer_request request, net::responder<peer_reply> respond);
    /// Answers `show_timeline` itself, because the timeline is not part of the
    /// reducer's state.
    void on_operator(operator_request request,
                     net::responder<operator_reply> respond);

    /// Answers a call whose event was queued but never handled as if it had
    /// been shed. Does nothing for events that are not calls.
    void refuse(decide::event const& unhandled);

private:
    /// Adds a call to `table` and queues it as a `CallEvent`, or sheds it.
    template<class CallEvent, class Table, class Request, class Respond>
    void admit(Table& table, Request request, Respond respond);

    process::event_queue<decide::event>& events_;
    open_calls& calls_;
    timeline const& timeline_;
    process::metrics& metrics_;
};

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_CALL_ADMISSION_HPP
