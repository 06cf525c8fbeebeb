#ifndef JAYDRIFT_CORE_STRING_HASH_HPP
#define JAYDRIFT_CORE_STRING_HASH_HPP

#include <cstddef>
#include <functional>
#include <string_view>

namespace jaydrift {

/// Hash that lets an unordered container of `std::string` be searched for a
/// view. Needs `std::equal_to<>` beside it.
struct string_hash
{
    using is_transparent = void;

    std::size_t operator()(std::string_view text) const
    {
        return std::hash<std::string_view>()(text);
    }
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_STRING_HASH_HPP
