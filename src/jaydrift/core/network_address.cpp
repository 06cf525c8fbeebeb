#include <jaydrift/core/network_address.hpp>

#include <charconv>
#include <cstdint>
#include <string>
#include <system_error>

#include <arpa/inet.h>

namespace jaydrift {

namespace {

bool is_port(std::string_view text)
{
    std::uint16_t port = 0;
    auto const* const last = text.data() + text.size();
    auto const [end, error] = std::from_chars(text.data(), last, port);
    return error == std::errc() && end == last && port != 0;
}

bool is_ip(int family, std::string_view text)
{
    in6_addr parsed{};
    return text.find('\0') == std::string_view::npos
           && inet_pton(family, std::string(text).c_str(), &parsed) == 1;
}

} // namespace

bool is_network_address(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos || !is_port(text.substr(colon + 1)))
    {
        return false;
    }
    auto const ip = text.substr(0, colon);
    return ip.starts_with('[') && ip.ends_with(']')
               ? is_ip(AF_INET6, ip.substr(1, ip.size() - 2))
               : is_ip(AF_INET, ip);
}

} // namespace jaydrift
