#ifndef JAYDRIFT_APP_RPC_OPERATOR_TRANSPORT_HPP
#define JAYDRIFT_APP_RPC_OPERATOR_TRANSPORT_HPP

#include <future>
#include <memory>
#include <string>
#include <utility>

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/net/operator_service.hpp>
#include <jaydrift/net/rpc_client.hpp>
#include <jaydrift/net/rpc_result.hpp>
#include <jaydrift/net/rpc_thread.hpp>

namespace jaydrift::app {

/// Calls the operator interface by RPC. Owns the thread that carries the calls.
class rpc_operator_transport
{
public:
    /// Calls the daemon at `address`, `ip:port`, and blocks until the reply is
    /// there or the call has failed, at the latest after `timeout`.
    net::rpc_result<operator_reply>
    call(std::string address, operator_request request, time_ms timeout)
    {
        using result = net::rpc_result<operator_reply>;
        auto promise = std::make_shared<std::promise<result>>();
        auto future = promise->get_future();
        net::call<net::operator_service>(
            thread_, std::move(address), std::move(request), timeout,
            [promise](result reply) { promise->set_value(std::move(reply)); });
        return future.get();
    }

private:
    net::rpc_thread thread_;
};

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_RPC_OPERATOR_TRANSPORT_HPP
