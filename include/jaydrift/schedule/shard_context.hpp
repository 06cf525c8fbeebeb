#ifndef JAYDRIFT_SCHEDULE_SHARD_CONTEXT_HPP
#define JAYDRIFT_SCHEDULE_SHARD_CONTEXT_HPP

#include <jaydrift/schedule/context.hpp>
#include <jaydrift/schedule/shard_state.hpp>

namespace jaydrift::schedule {

/// A step of the reducer that concerns one shard.
struct shard_context : context
{
    shard_context(context const& step, shard_state& concerned)
        : context(step), shard(concerned)
    {
    }

    shard_state& shard;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_SHARD_CONTEXT_HPP
