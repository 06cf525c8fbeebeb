#include "endpoint.hpp"

#include <jaydrift/net/net_error.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <charconv>
#include <cstring>

namespace jaydrift::net {

namespace {

bool parse_port(std::string_view text, std::uint16_t& port)
{
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, port);
    return parsed.ec == std::errc() && parsed.ptr == end;
}

template<class Address>
void set_address(Address const& address, endpoint& result)
{
    std::memcpy(&result.address, &address, sizeof address);
    result.address_size = sizeof address;
}

/// Parses `host` and sets the address; false if `host` is not an IPv4 address.
bool parse_ipv4(endpoint& result)
{
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(result.port);
    if (inet_pton(AF_INET, result.host.c_str(), &address.sin_addr) != 1)
    {
        return false;
    }
    set_address(address, result);
    return true;
}

/// Parses `host` and sets the address; false if `host` is not an IPv6 address.
bool parse_ipv6(endpoint& result)
{
    sockaddr_in6 address = {};
    address.sin6_family = AF_INET6;
    address.sin6_port = htons(result.port);
    if (inet_pton(AF_INET6, result.host.c_str(), &address.sin6_addr) != 1)
    {
        return false;
    }
    set_address(address, result);
    return true;
}

} // namespace

endpoint parse_endpoint(std::string_view text)
{
    endpoint result;
    auto const colon = text.rfind(':');
    if (colon != std::string_view::npos
        && parse_port(text.substr(colon + 1), result.port))
    {
        auto const host = text.substr(0, colon);
        bool const bracketed =
            host.size() > 2 && host.front() == '[' && host.back() == ']';
        result.host = bracketed ? host.substr(1, host.size() - 2) : host;
        if (bracketed ? parse_ipv6(result) : parse_ipv4(result))
        {
            return result;
        }
    }
    throw net_error("address '" + std::string(text)
                    + "' is not of the form ip:port");
}

} // namespace jaydrift::net
