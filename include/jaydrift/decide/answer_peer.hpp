#ifndef JAYDRIFT_DECIDE_ANSWER_PEER_HPP
#define JAYDRIFT_DECIDE_ANSWER_PEER_HPP

#include <jaydrift/core/peer_reply.hpp>

#include <cstdint>

namespace jaydrift::decide {

/// Effect: replies to another daemon's call.
struct answer_peer
{
    /// Identifies the open call that the reply belongs to.
    std::uint64_t call = 0;

    peer_reply reply;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_ANSWER_PEER_HPP
