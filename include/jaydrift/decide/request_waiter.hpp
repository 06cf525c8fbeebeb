#ifndef JAYDRIFT_DECIDE_REQUEST_WAITER_HPP
#define JAYDRIFT_DECIDE_REQUEST_WAITER_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/decide/request_key.hpp>

#include <cstdint>
#include <variant>

namespace jaydrift::decide {

/// The open HTTP exchange of a caller.
struct waiting_caller
{
    std::uint64_t call = 0;
};

/// The open call of another daemon.
struct waiting_peer
{
    std::uint64_t call = 0;
};

/// An entry of this daemon that was delegated or is being checked.
struct waiting_record
{
    request_key key;
};

/// A caller, peer or entry that waits for the result of a request.
struct request_waiter
{
    std::variant<waiting_caller, waiting_peer, waiting_record> who;
    time_ms arrived;
    time_ms deadline;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_REQUEST_WAITER_HPP
