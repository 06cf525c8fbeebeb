#ifndef JAYDRIFT_DECIDE_RESERVED_WORKER_HPP
#define JAYDRIFT_DECIDE_RESERVED_WORKER_HPP

#include <string>

namespace jaydrift::decide {

/// A worker that is kept free for a job that found no room for long.
struct reserved_worker
{
    std::string job;
    std::string worker;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_RESERVED_WORKER_HPP
