#ifndef JAYDRIFT_CORE_ERASE_REQUEST_HPP
#define JAYDRIFT_CORE_ERASE_REQUEST_HPP

#include <cstdint>
#include <optional>
#include <string>

namespace jaydrift {

/// Deletes a key of the store.
struct erase_request
{
    std::string key;
    /// Revision that the key must have; absent if any will do.
    std::optional<std::uint64_t> expected_revision;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_ERASE_REQUEST_HPP
