#ifndef JAYDRIFT_DECIDE_SEND_PEER_HPP
#define JAYDRIFT_DECIDE_SEND_PEER_HPP

#include <jaydrift/core/peer_request.hpp>
#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <string>

namespace jaydrift::decide {

/// Sends a request to a daemon; one `peer_replied` or `peer_failed` follows.
struct send_peer
{
    std::string daemon;
    std::string address;
    std::uint64_t correlation = 0;
    time_ms timeout;
    peer_request request;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_SEND_PEER_HPP
