#ifndef JAYDRIFT_HTTP_ENDPOINT_HPP
#define JAYDRIFT_HTTP_ENDPOINT_HPP

#include <jaydrift/core/network_address.hpp>

#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/ip/address.hpp>
#include <boost/system/system_error.hpp>

namespace jaydrift::http {

/// Parses the address of a remote process. Returns nothing if it is not a
/// network address.
template<class Endpoint>
std::optional<Endpoint> remote_endpoint(std::string_view address)
{
    if (!is_network_address(address))
    {
        return std::nullopt;
    }
    auto const colon = address.rfind(':');
    auto ip = address.substr(0, colon);
    if (ip.starts_with('['))
    {
        ip = ip.substr(1, ip.size() - 2);
    }
    boost::system::error_code error;
    auto const parsed = boost::asio::ip::make_address(std::string(ip), error);
    return error ? std::nullopt
                 : std::optional(Endpoint(
                     parsed, static_cast<unsigned short>(std::stoul(
                                 std::string(address.substr(colon + 1))))));
}

/// Parses an address to listen on. Port 0 lets the system choose a port.
///
/// @throws boost::system::system_error if it has another form.
template<class Endpoint>
Endpoint local_endpoint(std::string_view address)
{
    constexpr std::string_view any_port = ":0";
    auto const chooses_port = address.ends_with(any_port);
    auto const parsed = remote_endpoint<Endpoint>(
        chooses_port
            ? std::string(address.substr(0, address.size() - any_port.size()))
                  + ":1"
            : std::string(address));
    if (!parsed)
    {
        throw boost::system::system_error(
            make_error_code(boost::system::errc::invalid_argument),
            "'" + std::string(address) + "' is not IP:PORT");
    }
    return chooses_port ? Endpoint(parsed->address(), 0) : *parsed;
}

} // namespace jaydrift::http

#endif // JAYDRIFT_HTTP_ENDPOINT_HPP
