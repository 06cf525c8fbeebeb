#ifndef JAYDRIFT_SCHEDULE_SHARD_CONTEXT_HPP
#define JAYDRIFT_SCHEDULE_SHARD_CONTEXT_HPP

#include <jaydrift/schedule/context.hpp>
#include <jaydrift/schedule/shard_state.hpp>

namespace jaydrift::schedule {

/// Context of a handler that works on one shard. Does not own the shard.
struct shard_context : context
{
    shard_context(context const& base, shard_state& target)
        : context(base), shard(target)
    {
    }

    shard_state& shard;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_SHARD_CONTEXT_HPP
