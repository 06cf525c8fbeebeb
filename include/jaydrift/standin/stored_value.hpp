#ifndef JAYDRIFT_STANDIN_STORED_VALUE_HPP
#define JAYDRIFT_STANDIN_STORED_VALUE_HPP

#include <cstdint>
#include <string>

namespace jaydrift::standin {

/// Value of a key in the store.
struct stored_value
{
    std::string value;
    /// Revision of the put that wrote the value.
    std::uint64_t revision = 0;
    /// Token of the writer, by which it recognizes its own write.
    std::string token;
    /// Lease that deletes the key when it expires; 0 if there is none.
    std::uint64_t lease = 0;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_STORED_VALUE_HPP
