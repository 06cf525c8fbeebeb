#ifndef JAYDRIFT_DECIDE_PEER_CALLED_HPP
#define JAYDRIFT_DECIDE_PEER_CALLED_HPP

#include <jaydrift/core/peer_request.hpp>

#include <cstdint>

namespace jaydrift::decide {

/// Another daemon sent a request.
struct peer_called
{
    /// Identifies the open call that the reply, `answer_peer`, belongs to.
    std::uint64_t call = 0;
    peer_request request;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_PEER_CALLED_HPP
