#ifndef JAYDRIFT_SCHEDULE_SEND_MESSAGE_HPP
#define JAYDRIFT_SCHEDULE_SEND_MESSAGE_HPP

#include <jaydrift/schedule/peer_message.hpp>

#include <string>

namespace jaydrift::schedule {

/// Effect: sends a datagram to another daemon. It may be lost.
struct send_message
{
    /// Address of the peer port.
    std::string to;
    peer_message message;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_SEND_MESSAGE_HPP
