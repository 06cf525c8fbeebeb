#ifndef JAYDRIFT_SCHEDULE_EFFECT_HPP
#define JAYDRIFT_SCHEDULE_EFFECT_HPP

#include <jaydrift/schedule/answer_call.hpp>
#include <jaydrift/schedule/answer_relay_call.hpp>
#include <jaydrift/schedule/call_relay.hpp>
#include <jaydrift/schedule/close_connections.hpp>
#include <jaydrift/schedule/end_silent_call.hpp>
#include <jaydrift/schedule/exit_process.hpp>
#include <jaydrift/schedule/forward_call.hpp>
#include <jaydrift/schedule/gauge_update.hpp>
#include <jaydrift/schedule/log_line.hpp>
#include <jaydrift/schedule/metric_update.hpp>
#include <jaydrift/schedule/send_message.hpp>
#include <jaydrift/schedule/set_ready.hpp>
#include <jaydrift/schedule/store_call.hpp>
#include <jaydrift/schedule/worker_call.hpp>

#include <variant>
#include <vector>

namespace jaydrift::schedule {

/// Everything that the reducer can ask of its surroundings.
using effect =
    std::variant<answer_call, forward_call, store_call, end_silent_call,
                 worker_call, call_relay, answer_relay_call, send_message,
                 set_ready, close_connections, log_line, metric_update,
                 gauge_update, exit_process>;

using effect_list = std::vector<effect>;

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_EFFECT_HPP
