#ifndef JAYDRIFT_SCHEDULE_SHARD_KEY_HPP
#define JAYDRIFT_SCHEDULE_SHARD_KEY_HPP

#include <jaydrift/schedule/record_key.hpp>
#include <jaydrift/schedule/shard_context.hpp>

#include <string>
#include <utility>

namespace jaydrift::schedule {

/// Returns the key of a record of the shard.
inline record_key shard_key(shard_context const& ctx, record_kind kind,
                            std::string name = {})
{
    return {kind, std::move(name), ctx.shard.number};
}

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_SHARD_KEY_HPP
