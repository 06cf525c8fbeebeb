#ifndef JAYDRIFT_DECIDE_FORWARD_PURPOSE_HPP
#define JAYDRIFT_DECIDE_FORWARD_PURPOSE_HPP

#include <cstdint>

namespace jaydrift::decide {

/// What a daemon asks of the owner of a shard.
enum class forward_purpose : std::uint8_t
{
    /// To run a request of the owner's region.
    execute,

    /// To run a request for the owner of another region's shard.
    delegate,

    /// To tell whether it ran a request for an earlier owner, and never to run
    /// it if not.
    ask
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_FORWARD_PURPOSE_HPP
