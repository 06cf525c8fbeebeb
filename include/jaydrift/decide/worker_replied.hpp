#ifndef JAYDRIFT_DECIDE_WORKER_REPLIED_HPP
#define JAYDRIFT_DECIDE_WORKER_REPLIED_HPP

#include <jaydrift/core/worker_reply.hpp>

#include <cstdint>
#include <string>

namespace jaydrift::decide {

/// A worker replied to the request with this correlation number.
struct worker_replied
{
    std::string worker;
    std::uint64_t correlation = 0;
    worker_reply reply;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_WORKER_REPLIED_HPP
