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

/// Handles one call, on the RPC thread; must not block. The responder may be
/// used later and on any thread.
template<rpc_service Service>
using rpc_handler = std::function<void(typename Service::request request,
                                       responder<typename Service::reply>)>;

/// Serves a service on `bind_address` (`ip:port`) until the RPC thread stops.
/// Returns the port, which the kernel chooses if `bind_address` has port 0. The
/// RPC thread owns the server and `handler`.
///
/// At most 1024 connections are open and 4096 calls in flight per server;
/// further ones are refused.
///
/// @throws net_error if the address is not numeric or cannot be bound, or if
/// the RPC thread has stopped.
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
