#ifndef JAYDRIFT_DECIDE_EFFECT_HPP
#define JAYDRIFT_DECIDE_EFFECT_HPP

#include <jaydrift/decide/answer_caller.hpp>
#include <jaydrift/decide/answer_job.hpp>
#include <jaydrift/decide/answer_operator.hpp>
#include <jaydrift/decide/answer_peer.hpp>
#include <jaydrift/decide/exit_process.hpp>
#include <jaydrift/decide/observe.hpp>
#include <jaydrift/decide/record_event.hpp>
#include <jaydrift/decide/send_peer.hpp>
#include <jaydrift/decide/send_store.hpp>
#include <jaydrift/decide/send_worker.hpp>
#include <jaydrift/decide/write_log.hpp>

#include <variant>
#include <vector>

namespace jaydrift::decide {

/// Everything that the daemon's reducer can ask its interpreter to do.
using effect = std::variant<send_worker, send_store, send_peer, answer_caller,
                            answer_job, answer_operator, answer_peer, write_log,
                            record_event, observe, exit_process>;

using effect_list = std::vector<effect>;

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_EFFECT_HPP
