#ifndef JAYDRIFT_DECIDE_REDUCER_MODULE_HPP
#define JAYDRIFT_DECIDE_REDUCER_MODULE_HPP

#include <cstdint>

namespace jaydrift::decide {

/// Module of the reducer that a correlation number belongs to.
enum class reducer_module : std::uint8_t
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
constexpr reducer_module module_of(std::uint64_t correlation)
{
    return static_cast<reducer_module>(correlation >> 56U);
}

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_REDUCER_MODULE_HPP
