#ifndef JAYDRIFT_CORE_SHARD_RECORD_HPP
#define JAYDRIFT_CORE_SHARD_RECORD_HPP

#include <jaydrift/core/shard_id.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace jaydrift {

/// A shard's owner and voters, as kept in the store.
struct shard_record
{
    shard_id shard;
    std::uint64_t epoch = 0;
    std::string owner;
    std::uint64_t generation = 0;

    /// Workers that vote by accepting the owner's renewals. The owner may act
    /// only with the votes of a majority; the store decides a tie.
    std::vector<std::string> voters;

    /// Voters of the previous generation, while they must also agree.
    std::vector<std::string> previous_voters;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_SHARD_RECORD_HPP
