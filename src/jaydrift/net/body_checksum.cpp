#include <jaydrift/net/body_checksum.hpp>

#include <jaydrift/core/hash.hpp>

#include <array>
#include <charconv>

namespace jaydrift::net {

std::string body_checksum(std::string_view body)
{
    std::array<char, 16> digits{};
    auto const end =
        std::to_chars(digits.begin(), digits.end(), stable_hash(body), 16);
    std::string hex(digits.begin(), end.ptr);
    return hex.insert(0, digits.size() - hex.size(), '0');
}

} // namespace jaydrift::net
