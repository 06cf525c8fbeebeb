#ifndef JAYDRIFT_CORE_RANDOM_HPP
#define JAYDRIFT_CORE_RANDOM_HPP

#include <cstdint>

namespace jaydrift {

/// Seeded generator of random numbers (SplitMix64). It is part of a reducer's
/// state, so that a recorded event list replays to the same effects.
class random_source
{
public:
    explicit random_source(std::uint64_t seed = 0) : state_(seed) {}

    /// Returns the next number; all 64-bit numbers are equally likely.
    std::uint64_t next();

    /// Returns a number from 0 up to but not including `bound`.
    ///
    /// @pre `bound` is not 0.
    std::uint64_t below(std::uint64_t bound);

private:
    std::uint64_t state_;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_RANDOM_HPP
