#ifndef JAYDRIFT_DECIDE_PEER_REPLIED_HPP
#define JAYDRIFT_DECIDE_PEER_REPLIED_HPP

#include <jaydrift/core/peer_reply.hpp>

#include <cstdint>
#include <string>

namespace jaydrift::decide {

/// A daemon replied to the request with this correlation number.
struct peer_replied
{
    std::string daemon;
    std::uint64_t correlation = 0;
    peer_reply reply;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_PEER_REPLIED_HPP
