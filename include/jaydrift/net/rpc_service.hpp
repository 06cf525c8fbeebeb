#ifndef JAYDRIFT_NET_RPC_SERVICE_HPP
#define JAYDRIFT_NET_RPC_SERVICE_HPP

#include <concepts>

namespace jaydrift::net {

/// A trait type that describes an RPC interface: `request` and `reply` are its
/// messages as plain structs or variants, and `interface` is the class that
/// Cap'n Proto generates for it. The codecs are overloads of `encode` and
/// `decode`.
template<class Service>
concept rpc_service = requires
{
    typename Service::request;
    typename Service::reply;
    typename Service::interface;
}
&&std::movable<typename Service::request>&&
    std::movable<typename Service::reply>;

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_RPC_SERVICE_HPP
