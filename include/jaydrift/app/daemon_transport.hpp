#ifndef JAYDRIFT_APP_DAEMON_TRANSPORT_HPP
#define JAYDRIFT_APP_DAEMON_TRANSPORT_HPP

#include <functional>
#include <string>

#include <jaydrift/core/peer_reply.hpp>
#include <jaydrift/core/peer_request.hpp>
#include <jaydrift/core/store_reply.hpp>
#include <jaydrift/core/store_request.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/core/worker_reply.hpp>
#include <jaydrift/core/worker_request.hpp>
#include <jaydrift/net/rpc_result.hpp>

namespace jaydrift::app {

/// Receives the result of a call, on any thread; must not throw.
template<class Reply>
using call_done = std::function<void(net::rpc_result<Reply>)>;

/// Sends requests to workers, the store and other daemons without waiting, and
/// calls the `call_done` of each exactly once, with a reply or a failure.
/// Addresses are `ip:port`; `timeout` limits the wait for the reply.
template<class Transport>
concept daemon_transport = requires(Transport& transport, std::string address,
                                    time_ms timeout, worker_request to_worker,
                                    call_done<worker_reply> from_worker,
                                    store_request to_store,
                                    call_done<store_reply> from_store,
                                    peer_request to_peer,
                                    call_done<peer_reply> from_peer)
{
    transport.call_worker(address, to_worker, timeout, from_worker);
    transport.call_store(to_store, timeout, from_store);
    transport.call_peer(address, to_peer, timeout, from_peer);
};

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_DAEMON_TRANSPORT_HPP
