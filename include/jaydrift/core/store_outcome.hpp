#ifndef JAYDRIFT_CORE_STORE_OUTCOME_HPP
#define JAYDRIFT_CORE_STORE_OUTCOME_HPP

#include <cstdint>

namespace jaydrift {

/// Result of a request to the store. All but `ok` mean that nothing changed.
enum class store_outcome : std::uint8_t
{
    ok,

    /// The key does not have the expected revision.
    conflict,

    /// The key to be deleted does not exist.
    not_found,

    /// The lease that the request names has expired.
    lease_expired,
    overloaded,

    /// The value is larger than the store allows.
    too_large
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_STORE_OUTCOME_HPP
