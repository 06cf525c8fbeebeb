#ifndef JAYDRIFT_CORE_STORE_ENTRY_HPP
#define JAYDRIFT_CORE_STORE_ENTRY_HPP

#include <cstdint>
#include <string>

namespace jaydrift {

/// A key of the store with its value.
struct store_entry
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    /// Token of the request that wrote the value.
    std::string token;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_STORE_ENTRY_HPP
