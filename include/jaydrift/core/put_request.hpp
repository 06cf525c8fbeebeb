#ifndef JAYDRIFT_CORE_PUT_REQUEST_HPP
#define JAYDRIFT_CORE_PUT_REQUEST_HPP

#include <cstdint>
#include <optional>
#include <string>

namespace jaydrift {

/// Writes a value of the store, with compare-and-swap if a revision is given.
struct put_request
{
    std::string key;
    std::string value;

    /// Revision that the key must have; 0 means that it must not exist.
    std::optional<std::uint64_t> expected_revision;

    /// Unique per write; kept with the value to resolve a lost reply.
    std::string token;

    /// Lease that deletes the key when it expires; 0 means none.
    std::uint64_t lease = 0;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_PUT_REQUEST_HPP
