#ifndef JAYDRIFT_CORE_PEER_REQUEST_HPP
#define JAYDRIFT_CORE_PEER_REQUEST_HPP

#include <jaydrift/core/execute_request.hpp>
#include <jaydrift/core/hand_over_request.hpp>
#include <jaydrift/core/heartbeat.hpp>
#include <jaydrift/core/job_request.hpp>
#include <jaydrift/core/policy_update.hpp>
#include <jaydrift/core/query_request.hpp>

#include <variant>

namespace jaydrift {

/// Any request between daemons.
using peer_request =
    std::variant<heartbeat, execute_request, query_request, job_request,
                 policy_update, hand_over_request>;

} // namespace jaydrift

#endif // JAYDRIFT_CORE_PEER_REQUEST_HPP
