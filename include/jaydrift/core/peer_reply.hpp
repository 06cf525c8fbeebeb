#ifndef JAYDRIFT_CORE_PEER_REPLY_HPP
#define JAYDRIFT_CORE_PEER_REPLY_HPP

#include <jaydrift/core/heartbeat.hpp>
#include <jaydrift/core/job_reply.hpp>
#include <jaydrift/core/peer_acknowledgement.hpp>
#include <jaydrift/core/request_result.hpp>

#include <variant>

namespace jaydrift {

/// Any reply between daemons.
using peer_reply =
    std::variant<peer_acknowledgement, heartbeat, request_result, job_reply>;

} // namespace jaydrift

#endif // JAYDRIFT_CORE_PEER_REPLY_HPP
