#ifndef JAYDRIFT_NET_RPC_CLIENT_HPP
#define JAYDRIFT_NET_RPC_CLIENT_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/net/operator_service.hpp>
#include <jaydrift/net/peer_service.hpp>
#include <jaydrift/net/rpc_result.hpp>
#include <jaydrift/net/rpc_service.hpp>
#include <jaydrift/net/store_service.hpp>
#include <jaydrift/net/worker_service.hpp>

#include <functional>
#include <string>

namespace jaydrift::net {

class rpc_thread;

/// Receives the result of a call, on the traffic thread.
template<rpc_service Service>
using rpc_done =
    std::function<void(rpc_result<typename Service::reply> result)>;

/// Calls a service at `address` (`ip:port`) without waiting.
///
/// `done` is called exactly once on the traffic thread. One connection is kept
/// per address and service, and made again after it broke.
template<rpc_service Service>
void call(rpc_thread& thread, std::string address,
          typename Service::request request, time_ms timeout,
          rpc_done<Service> done);

extern template void call<store_service>(rpc_thread&, std::string,
                                         store_request, time_ms,
                                         rpc_done<store_service>);
extern template void call<worker_service>(rpc_thread&, std::string,
                                          worker_request, time_ms,
                                          rpc_done<worker_service>);
extern template void call<peer_service>(rpc_thread&, std::string, peer_request,
                                        time_ms, rpc_done<peer_service>);
extern template void call<operator_service>(rpc_thread&, std::string,
                                            operator_request, time_ms,
                                            rpc_done<operator_service>);

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_RPC_CLIENT_HPP
