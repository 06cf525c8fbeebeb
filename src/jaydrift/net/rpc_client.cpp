#include <jaydrift/net/rpc_client.hpp>

#include "rpc_channel.hpp"
#include "rpc_codec.hpp"
#include "rpc_loop.hpp"

#include <jaydrift/net/net_error.hpp>
#include <jaydrift/net/rpc_thread.hpp>

#include <memory>
#include <typeinfo>
#include <utility>

namespace jaydrift::net {

namespace {

/// Bytes that may wait to be sent on a connection whose peer does not read.
constexpr std::size_t max_unsent_bytes = std::size_t{64} << 20;

/// A call whose result is not known yet. Shared by the promises that work on
/// the call; if the last of them is destroyed without a result, the call fails.
template<class Service>
class pending_call
{
public:
    using result = rpc_result<typename Service::reply>;

    explicit pending_call(rpc_callback<Service> callback)
        : callback_(std::move(callback))
    {
    }
    pending_call(pending_call const&) = delete;
    pending_call& operator=(pending_call const&) = delete;
    ~pending_call()
    {
        fail("the RPC thread stopped before the call had a reply");
    }

    /// Passes the result to the callback; does nothing after the first time.
    void finish(result outcome)
    {
        if (auto const callback = std::exchange(callback_, nullptr))
        {
            callback(std::move(outcome));
        }
    }

    void fail(std::string reason)
    {
        finish(rpc_failure{!sent, std::move(reason)});
    }

    /// The request may have left this process.
    bool sent = false;

private:
    rpc_callback<Service> callback_;
};

template<class Service>
using call_pointer = std::shared_ptr<pending_call<Service>>;

/// Sends a request and returns the reply; marks the call as sent.
///
/// @throws net_error if too much waits to be sent on the connection.
/// @throws codec_error if the request cannot be encoded.
template<coded_service Service>
kj::Promise<typename Service::reply>
send(rpc_connection& connection, typename Service::request const& request,
     pending_call<Service>& pending)
{
    using interface = typename Service::interface;
    if (connection.unsent_bytes() > max_unsent_bytes)
    {
        throw net_error(
            "more than 64 MB wait to be sent on the connection, because the "
            "peer does not read");
    }
    auto out = connection.service().castAs<interface>().callRequest();
    encode_bounded(request, out.initRequest());
    pending.sent = true;
    return out.send().then(
        [](auto&& response) { return decode(response.getReply()); });
}

/// Sends on a connection and keeps it until the reply. If it breaks, the
/// channel discards it.
template<coded_service Service>
kj::Promise<typename Service::reply>
send_on(rpc_channel& channel, kj::Own<rpc_connection> connection,
        typename Service::request const& request,
        pending_call<Service>& pending)
{
    auto& target = *connection;
    return send<Service>(target, request, pending)
        .catch_([&channel, &target](kj::Exception&& error) ->
                typename Service::reply {
                    if (error.getType() == kj::Exception::Type::DISCONNECTED)
                    {
                        channel.discard(target);
                    }
                    kj::throwFatalException(kj::mv(error));
                })
        .attach(kj::mv(connection));
}

/// Starts a call on the RPC thread; its result goes to `pending`.
///
/// @throws net_error if the address is not of the form `ip:port`.
template<coded_service Service>
void start_call(rpc_loop& loop, std::string const& address,
                typename Service::request request, time_ms timeout,
                call_pointer<Service> const& pending)
{
    auto& channel = loop.shared_object<rpc_channel>(
        std::string(typeid(Service).name()) + ' ' + address, address);
    if (channel.calls_in_flight >= max_calls_in_flight)
    {
        return pending->fail("4096 calls, the most allowed, are in flight to "
                             + address);
    }
    ++channel.calls_in_flight;
    auto reply = channel.connect().then(
        [&channel, pending,
         request = std::move(request)](kj::Own<rpc_connection> connection) {
            return send_on<Service>(channel, kj::mv(connection), request,
                                    *pending);
        });
    loop.spawn(
        loop.timer()
            .timeoutAfter(timeout.count() * kj::MILLISECONDS, kj::mv(reply))
            .then([pending](typename Service::reply value) {
                pending->finish(std::move(value));
            })
            .catch_([pending](kj::Exception&& error) {
                pending->fail(error.getDescription().cStr());
            })
            .attach(kj::defer([&channel] { --channel.calls_in_flight; })));
}

} // namespace

template<rpc_service Service>
void call(rpc_thread& thread, std::string address,
          typename Service::request request, time_ms timeout,
          rpc_callback<Service> callback)
{
    auto& loop = thread.loop();
    auto const pending =
        std::make_shared<pending_call<Service>>(std::move(callback));
    loop.queue()->post([&loop, pending, timeout, address = std::move(address),
                        request = std::move(request)]() mutable {
        try
        {
            start_call<Service>(loop, address, std::move(request), timeout,
                                pending);
        }
        catch (net_error const& error)
        {
            pending->fail(error.what());
        }
        catch (kj::Exception const& error)
        {
            pending->fail(error.getDescription().cStr());
        }
    });
}

template void call<store_service>(rpc_thread&, std::string, store_request,
                                  time_ms, rpc_callback<store_service>);
template void call<worker_service>(rpc_thread&, std::string, worker_request,
                                   time_ms, rpc_callback<worker_service>);
template void call<peer_service>(rpc_thread&, std::string, peer_request,
                                 time_ms, rpc_callback<peer_service>);
template void call<operator_service>(rpc_thread&, std::string, operator_request,
                                     time_ms, rpc_callback<operator_service>);

} // namespace jaydrift::net
