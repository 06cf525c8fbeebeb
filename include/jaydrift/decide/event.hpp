#ifndef JAYDRIFT_DECIDE_EVENT_HPP
#define JAYDRIFT_DECIDE_EVENT_HPP

#include <jaydrift/decide/job_arrived.hpp>
#include <jaydrift/decide/operator_called.hpp>
#include <jaydrift/decide/peer_called.hpp>
#include <jaydrift/decide/peer_failed.hpp>
#include <jaydrift/decide/peer_replied.hpp>
#include <jaydrift/decide/request_arrived.hpp>
#include <jaydrift/decide/stop_requested.hpp>
#include <jaydrift/decide/store_failed.hpp>
#include <jaydrift/decide/store_replied.hpp>
#include <jaydrift/decide/timer_due.hpp>
#include <jaydrift/decide/worker_failed.hpp>
#include <jaydrift/decide/worker_replied.hpp>

#include <variant>

namespace jaydrift::decide {

/// Everything that the daemon's reducer handles.
using event =
    std::variant<timer_due, request_arrived, job_arrived, operator_called,
                 peer_called, worker_replied, worker_failed, store_replied,
                 store_failed, peer_replied, peer_failed, stop_requested>;

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_EVENT_HPP
