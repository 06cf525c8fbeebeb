#ifndef JAYDRIFT_SCHEDULE_OWNER_ROLE_HPP
#define JAYDRIFT_SCHEDULE_OWNER_ROLE_HPP

#include <cstdint>

namespace jaydrift::schedule {

/// What the daemon does for a shard. It starts tasks only in the role `owner`.
/// Replies of workers are handled in all roles that hold the shard, and may
/// cause stop orders there too.
enum class owner_role : std::uint8_t
{
    follower,

    /// It tries to replace the owner record by its own; the store has not
    /// answered yet.
    claiming,

    /// The owner record is its own. It reads the submissions and fences the
    /// workers before it serves.
    recovering,

    /// It serves the shard.
    owner,

    /// The owner record is its own as far as it knows, but it sends no orders
    /// to workers until the store confirms that, except for stop orders after a
    /// reply to an earlier order. Peers cannot confirm it: one that
    /// knew of a successor may have been restarted.
    suspended,

    /// It asks a peer to take over, keeps the leases of running tasks and goes
    /// on to store changes. It starts no tasks and does not repeat stop orders.
    yielding
};

/// Returns whether the daemon keeps the submissions and workers of the shard.
constexpr bool holds_shard(owner_role role)
{
    return role != owner_role::follower && role != owner_role::claiming;
}

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_OWNER_ROLE_HPP
