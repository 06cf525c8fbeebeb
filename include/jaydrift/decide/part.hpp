#ifndef JAYDRIFT_DECIDE_PART_HPP
#define JAYDRIFT_DECIDE_PART_HPP

#include <cstdint>

namespace jaydrift::decide {

/// Module of the reducer that a correlation number belongs to.
enum class part : std::uint8_t
{
    membership,
    ownership,
    policy,
    workers,
    requests,
    batch,
    journal
};

/// Returns the module that made a correlation number.
constexpr part part_of(std::uint64_t correlation)
{
    return static_cast<part>(correlation >> 56U);
}

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_PART_HPP
