#ifndef JAYDRIFT_STANDIN_WAITING_WATCH_HPP
#define JAYDRIFT_STANDIN_WAITING_WATCH_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/core/watch_request.hpp>

#include <cstdint>

namespace jaydrift::standin {

/// Watch that has not been answered yet.
struct waiting_watch
{
    /// Number of the `store_called`.
    std::uint64_t number = 0;
    watch_request request;
    /// When the watch is answered without a change.
    time_ms expires_at;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_WAITING_WATCH_HPP
