#ifndef JAYDRIFT_DECIDE_FORWARDED_CALL_HPP
#define JAYDRIFT_DECIDE_FORWARDED_CALL_HPP

#include <jaydrift/decide/job_waiter.hpp>

#include <string>

namespace jaydrift::decide {

/// A request about a batch job that was forwarded to the owner of its shard.
struct forwarded_call
{
    job_waiter waiter;
    std::string owner;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_FORWARDED_CALL_HPP
