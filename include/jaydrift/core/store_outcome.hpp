#ifndef JAYDRIFT_CORE_STORE_OUTCOME_HPP
#define JAYDRIFT_CORE_STORE_OUTCOME_HPP

#include <cstdint>

namespace jaydrift {

/// Result of a request to the store.
enum class store_outcome : std::uint8_t
{
    ok,
    conflict,
    not_found,
    lease_expired,
    overloaded,
    too_large
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_STORE_OUTCOME_HPP
