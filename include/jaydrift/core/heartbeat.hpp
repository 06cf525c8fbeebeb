#ifndef JAYDRIFT_CORE_HEARTBEAT_HPP
#define JAYDRIFT_CORE_HEARTBEAT_HPP

#include <jaydrift/core/member_info.hpp>
#include <jaydrift/core/owned_shard.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace jaydrift {

/// Heartbeat of jaydriftd: tells another daemon that the sender is alive and
/// what it serves. jaydrift-scheduler has its own, `schedule::heartbeat`.
struct heartbeat
{
    member_info sender;

    /// The sender hands its shards over and takes none.
    bool draining = false;
    std::uint64_t policy_version = 0;
    std::vector<owned_shard> shards;

    /// Availability zones that the sender treats as closed although the new
    /// policy version is not durable yet. Each item is a record of the zone,
    /// the version that the command is based on, and the command's token.
    std::vector<std::string> early_closed;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_HEARTBEAT_HPP
