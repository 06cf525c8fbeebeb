#ifndef JAYDRIFT_CORE_HASH_HPP
#define JAYDRIFT_CORE_HASH_HPP

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace jaydrift {

/// Returns a 64-bit hash that is the same in every process and version.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

/// Returns the candidate with the highest rendezvous score for `key`, as an
/// index. Removing a candidate moves only the keys that it had.
///
/// @pre `candidates` is not empty.
std::size_t rendezvous(std::string_view key,
                       std::span<std::string const> candidates);

/// Returns the rendezvous score of one candidate for `key`.
std::uint64_t rendezvous_score(std::string_view key,
                               std::string_view candidate);

} // namespace jaydrift

#endif // JAYDRIFT_CORE_HASH_HPP
