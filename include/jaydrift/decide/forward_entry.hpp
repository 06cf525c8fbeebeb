#ifndef JAYDRIFT_DECIDE_FORWARD_ENTRY_HPP
#define JAYDRIFT_DECIDE_FORWARD_ENTRY_HPP

#include <jaydrift/core/shard_id.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/core/urgent_request.hpp>
#include <jaydrift/decide/forward_purpose.hpp>
#include <jaydrift/decide/request_waiter.hpp>

#include <cstdint>
#include <string>

namespace jaydrift::decide {

/// A request that this daemon sends to the owner of its shard.
struct forward_entry
{
    urgent_request request;
    shard_id shard;
    forward_purpose purpose = forward_purpose::execute;
    request_waiter waiter;

    /// Correlation number of the open call, 0 if there is none, and the daemon
    /// that was called last.
    std::uint64_t correlation = 0;
    std::string daemon;
    std::uint32_t attempts = 0;

    /// A daemon may have received the request.
    bool sent = false;

    /// When the next attempt or check of the owner is due.
    time_ms due;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_FORWARD_ENTRY_HPP
