#ifndef JAYDRIFT_SCHEDULE_MESSAGE_ARRIVED_HPP
#define JAYDRIFT_SCHEDULE_MESSAGE_ARRIVED_HPP

#include <jaydrift/schedule/peer_message.hpp>

#include <string>

namespace jaydrift::schedule {

/// Event: a datagram of another daemon has arrived.
struct message_arrived
{
    /// Address of the sender.
    std::string from;
    peer_message message;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_MESSAGE_ARRIVED_HPP
