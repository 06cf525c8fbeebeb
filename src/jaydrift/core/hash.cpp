#include <jaydrift/core/hash.hpp>

namespace jaydrift {

namespace {

/// Final mixing step of SplitMix64; spreads close inputs over all bits.
std::uint64_t mix(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15U;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31);
}

} // namespace

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed)
{
    // FNV-1a, mixed at the end because its high bits are weak on short keys.
    std::uint64_t hash = 0xcbf29ce484222325U ^ seed;
    for (unsigned char byte : text)
    {
        hash ^= byte;
        hash *= 0x100000001b3U;
    }
    return mix(hash);
}

std::uint64_t rendezvous_score(std::string_view key, std::string_view candidate)
{
    return stable_hash(candidate, stable_hash(key));
}

std::size_t rendezvous(std::string_view key,
                       std::span<std::string const> candidates)
{
    std::size_t best = 0;
    std::uint64_t best_score = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        std::uint64_t const score = rendezvous_score(key, candidates[i]);
        if (i == 0 || score > best_score)
        {
            best = i;
            best_score = score;
        }
    }
    return best;
}

} // namespace jaydrift
