#ifndef JAYDRIFT_DECIDE_FORWARD_PURPOSE_HPP
#define JAYDRIFT_DECIDE_FORWARD_PURPOSE_HPP

#include <cstdint>

namespace jaydrift::decide {

/// What a daemon asks of the owner of a shard.
enum class forward_purpose : std::uint8_t
{
    /// Run a request of the owner's region.
    execute,

    /// Run a request for the owner of another region's shard.
    delegate,

    /// Tell whether a request ran for an earlier owner, and never run it
    /// otherwise.
    check
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_FORWARD_PURPOSE_HPP
