#ifndef JAYDRIFT_SCHEDULE_PEER_MESSAGE_HPP
#define JAYDRIFT_SCHEDULE_PEER_MESSAGE_HPP

#include <jaydrift/schedule/heartbeat.hpp>
#include <jaydrift/schedule/heartbeat_reply.hpp>
#include <jaydrift/schedule/owner_query.hpp>
#include <jaydrift/schedule/owner_query_reply.hpp>
#include <jaydrift/schedule/room_offer.hpp>
#include <jaydrift/schedule/room_refusal.hpp>
#include <jaydrift/schedule/room_request.hpp>
#include <jaydrift/schedule/tasks_assigned.hpp>
#include <jaydrift/schedule/worker_request.hpp>
#include <jaydrift/schedule/yield_request.hpp>

#include <variant>

namespace jaydrift::schedule {

/// A datagram between daemons.
using peer_message =
    std::variant<heartbeat, heartbeat_reply, owner_query, owner_query_reply,
                 yield_request, worker_request, room_request, room_offer,
                 room_refusal, tasks_assigned>;

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_PEER_MESSAGE_HPP
