#ifndef JAYDRIFT_NET_RPC_SERVER_HPP
#define JAYDRIFT_NET_RPC_SERVER_HPP

#include <jaydrift/net/operator_service.hpp>
#include <jaydrift/net/peer_service.hpp>
#include <jaydrift/net/responder.hpp>
#include <jaydrift/net/rpc_service.hpp>
#include <jaydrift/net/store_service.hpp>
#include <jaydrift/net/worker_service.hpp>

#include <cstdint>
#include <functional>
#include <string_view>

namespace jaydrift::net {

class rpc_thread;

/// Takes a call, on the traffic thread; must not block.
template<rpc_service Service>
using rpc_handler = std::function<void(typename Service::request request,
                                       responder<typename Service::reply>)>;

/// Serves a service on `bind_address` (`ip:port`) until the thread stops, and
/// returns the port; with port 0, the kernel chooses it.
///
/// @throws net_error if the address cannot be bound.
template<rpc_service Service>
std::uint16_t serve(rpc_thread& thread, std::string_view bind_address,
                    rpc_handler<Service> handler);

extern template std::uint16_t
serve<store_service>(rpc_thread&, std::string_view, rpc_handler<store_service>);
extern template std::uint16_t
serve<worker_service>(rpc_thread&, std::string_view,
                      rpc_handler<worker_service>);
extern template std::uint16_t serve<peer_service>(rpc_thread&, std::string_view,
                                                  rpc_handler<peer_service>);
extern template std::uint16_t
serve<operator_service>(rpc_thread&, std::string_view,
                        rpc_handler<operator_service>);

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_RPC_SERVER_HPP
