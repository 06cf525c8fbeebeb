#ifndef JAYDRIFT_DECIDE_SHARD_REQUESTS_HPP
#define JAYDRIFT_DECIDE_SHARD_REQUESTS_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/decide/request_entry.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace jaydrift::decide {

/// The requests of one shard at its owner, by request ID.
struct shard_requests
{
    std::map<std::string, request_entry, std::less<>> entries;

    /// IDs to start, in order of arrival: class urgent, then class service.
    std::array<std::deque<std::string>, 2> waiting;

    /// Number of entries that have waiters.
    std::uint32_t with_waiters = 0;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_SHARD_REQUESTS_HPP
