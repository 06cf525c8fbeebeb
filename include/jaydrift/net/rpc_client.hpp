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

/// Receives the result of a call, on the RPC thread; must not throw or block.
template<rpc_service Service>
using rpc_callback =
    std::function<void(rpc_result<typename Service::reply> result)>;

/// Calls the service at `address` (`ip:port`) and returns without waiting for
/// the reply. May be called on any thread.
///
/// `callback` is called exactly once, on the RPC thread, or on the calling
/// thread if the RPC thread has stopped. It receives a failure if there is no
/// reply within `timeout`, which starts when the RPC thread takes up the call
/// and includes the time to connect.
///
/// Calls to the same service and address share one connection, which is opened
/// again after it broke. At most 4096 calls are in flight on it; a further one
/// fails with `never_sent`.
template<rpc_service Service>
void call(rpc_thread& thread, std::string address,
          typename Service::request request, time_ms timeout,
          rpc_callback<Service> callback);

extern template void call<store_service>(rpc_thread&, std::string,
                                         store_request, time_ms,
                                         rpc_callback<store_service>);
extern template void call<worker_service>(rpc_thread&, std::string,
                                          worker_request, time_ms,
                                          rpc_callback<worker_service>);
extern template void call<peer_service>(rpc_thread&, std::string, peer_request,
                                        time_ms, rpc_callback<peer_service>);
extern template void call<operator_service>(rpc_thread&, std::string,
                                            operator_request, time_ms,
                                            rpc_callback<operator_service>);

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_RPC_CLIENT_HPP
