#ifndef JAYDRIFT_DECIDE_REQUEST_KEY_HPP
#define JAYDRIFT_DECIDE_REQUEST_KEY_HPP

#include <jaydrift/core/shard_id.hpp>

#include <string>

namespace jaydrift::decide {

/// Identifies a request entry: a request ID in the shard that keeps the entry.
struct request_key
{
    shard_id shard;
    std::string id;

    auto operator<=>(request_key const&) const = default;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_REQUEST_KEY_HPP
