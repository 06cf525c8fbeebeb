#ifndef JAYDRIFT_SCHEDULE_EVENT_HPP
#define JAYDRIFT_SCHEDULE_EVENT_HPP

#include <jaydrift/schedule/call_arrived.hpp>
#include <jaydrift/schedule/forward_replied.hpp>
#include <jaydrift/schedule/message_arrived.hpp>
#include <jaydrift/schedule/relay_call_arrived.hpp>
#include <jaydrift/schedule/relay_replied.hpp>
#include <jaydrift/schedule/settings_changed.hpp>
#include <jaydrift/schedule/stop_requested.hpp>
#include <jaydrift/schedule/store_replied.hpp>
#include <jaydrift/schedule/timer_due.hpp>
#include <jaydrift/schedule/worker_replied.hpp>

#include <variant>

namespace jaydrift::schedule {

/// Everything that the reducer can be told.
using event =
    std::variant<timer_due, call_arrived, forward_replied, store_replied,
                 worker_replied, message_arrived, relay_call_arrived,
                 relay_replied, settings_changed, stop_requested>;

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_EVENT_HPP
