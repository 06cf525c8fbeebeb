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
void store(Address const& address, endpoint& out)
{
    std::memcpy(&out.address, &address, sizeof address);
    out.size = sizeof address;
}

bool parse_v4(endpoint& out)
{
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(out.port);
    if (inet_pton(AF_INET, out.host.c_str(), &address.sin_addr) != 1)
    {
        return false;
    }
    store(address, out);
    return true;
}

bool parse_v6(endpoint& out)
{
    sockaddr_in6 address = {};
    address.sin6_family = AF_INET6;
    address.sin6_port = htons(out.port);
    if (inet_pton(AF_INET6, out.host.c_str(), &address.sin6_addr) != 1)
    {
        return false;
    }
    store(address, out);
    return true;
}

} // namespace

endpoint parse_endpoint(std::string_view text)
{
    endpoint out;
    auto const colon = text.rfind(':');
    if (colon != std::string_view::npos
        && parse_port(text.substr(colon + 1), out.port))
    {
        auto const host = text.substr(0, colon);
        bool const brackets =
            host.size() > 2 && host.front() == '[' && host.back() == ']';
        out.host = brackets ? host.substr(1, host.size() - 2) : host;
        if (brackets ? parse_v6(out) : parse_v4(out))
        {
            return out;
        }
    }
    throw net_error("address '" + std::string(text)
                    + "' is not of the form ip:port");
}

} // namespace jaydrift::net
