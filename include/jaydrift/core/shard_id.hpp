#ifndef JAYDRIFT_CORE_SHARD_ID_HPP
#define JAYDRIFT_CORE_SHARD_ID_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace jaydrift {

/// Identifies a shard: a set of workers of one region with their tasks.
struct shard_id
{
    std::string region;
    std::uint32_t number = 0;

    auto operator<=>(shard_id const&) const = default;
};

/// Returns the shard's name, such as `north/2`.
inline std::string to_string(shard_id const& shard)
{
    return shard.region + '/' + std::to_string(shard.number);
}

} // namespace jaydrift

#endif // JAYDRIFT_CORE_SHARD_ID_HPP
