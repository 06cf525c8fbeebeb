#ifndef JAYDRIFT_STANDIN_STORED_VALUE_HPP
#define JAYDRIFT_STANDIN_STORED_VALUE_HPP

#include <cstdint>
#include <string>

namespace jaydrift::standin {

/// Value of a key of the store.
struct stored_value
{
    std::string value;
    std::uint64_t revision = 0;
    std::string token;
    std::uint64_t lease = 0;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_STORED_VALUE_HPP
