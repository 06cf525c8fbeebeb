#ifndef JAYDRIFT_APP_OPEN_CALLS_HPP
#define JAYDRIFT_APP_OPEN_CALLS_HPP

#include <cstddef>

#include <jaydrift/app/call_table.hpp>
#include <jaydrift/core/job_reply.hpp>
#include <jaydrift/core/operator_reply.hpp>
#include <jaydrift/core/peer_reply.hpp>
#include <jaydrift/core/request_result.hpp>

namespace jaydrift::app {

/// Calls that wait for the reducer's answer, in one table for each API.
struct open_calls
{
    /// `capacity` is the limit of each table.
    explicit open_calls(std::size_t capacity)
        : callers(capacity), jobs(capacity), operators(capacity),
          peers(capacity)
    {
    }

    /// Removes every call without an answer, which tells its caller that the
    /// result is unknown.
    void clear()
    {
        callers.clear();
        jobs.clear();
        operators.clear();
        peers.clear();
    }

    call_table<request_result> callers;
    call_table<job_reply> jobs;
    call_table<operator_reply> operators;
    call_table<peer_reply> peers;
};

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_OPEN_CALLS_HPP
