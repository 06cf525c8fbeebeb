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

/// Bytes that may wait for a peer that does not read.
constexpr std::size_t max_backlog = std::size_t{64} << 20;

/// A call until its result is known. Destroyed before that, it fails.
template<class Service>
class pending_call
{
public:
    using result = rpc_result<typename Service::reply>;

    explicit pending_call(rpc_done<Service> done) : done_(std::move(done)) {}
    pending_call(pending_call const&) = delete;
    pending_call& operator=(pending_call const&) = delete;
    ~pending_call() { fail("the RPC thread stopped"); }

    void finish(result outcome)
    {
        if (auto const done = std::exchange(done_, nullptr))
        {
            done(std::move(outcome));
        }
    }

    void fail(std::string reason)
    {
        finish(rpc_failure{!sent, std::move(reason)});
    }

    bool sent = false;

private:
    rpc_done<Service> done_;
};

template<class Service>
using call_pointer = std::shared_ptr<pending_call<Service>>;

template<coded_service Service>
kj::Promise<typename Service::reply>
send(rpc_connection& connection, typename Service::request const& request,
     pending_call<Service>& pending)
{
    using interface = typename Service::interface;
    if (connection.backlog() > max_backlog)
    {
        throw net_error("the peer does not read what was sent before");
    }
    auto out = connection.service().castAs<interface>().callRequest();
    encode_bounded(request, out.initRequest());
    pending.sent = true;
    return out.send().then(
        [](auto&& response) { return decode(response.getReply()); });
}

/// Sends on a connection, and forgets the connection if it breaks.
template<coded_service Service>
kj::Promise<typename Service::reply>
send_on(rpc_channel& channel, kj::Own<rpc_connection> connection,
        typename Service::request const& request,
        pending_call<Service>& pending)
{
    auto& used = *connection;
    return send<Service>(used, request, pending)
        .catch_([&channel, &used](kj::Exception&& error) ->
                typename Service::reply {
                    if (error.getType() == kj::Exception::Type::DISCONNECTED)
                    {
                        channel.drop(used);
                    }
                    kj::throwFatalException(kj::mv(error));
                })
        .attach(kj::mv(connection));
}

template<coded_service Service>
void start(rpc_loop& loop, std::string const& address,
           typename Service::request request, time_ms timeout,
           call_pointer<Service> const& pending)
{
    auto& channel = loop.part<rpc_channel>(
        std::string(typeid(Service).name()) + ' ' + address, address);
    if (channel.calls >= max_calls)
    {
        return pending->fail("too many calls in flight to " + address);
    }
    ++channel.calls;
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
            .attach(kj::defer([&channel] { --channel.calls; })));
}

} // namespace

template<rpc_service Service>
void call(rpc_thread& thread, std::string address,
          typename Service::request request, time_ms timeout,
          rpc_done<Service> done)
{
    auto& loop = thread.loop();
    auto const pending =
        std::make_shared<pending_call<Service>>(std::move(done));
    loop.queue()->post([&loop, pending, timeout, address = std::move(address),
                        request = std::move(request)]() mutable {
        try
        {
            start<Service>(loop, address, std::move(request), timeout, pending);
        }
        catch (net_error const& error)
        {
            pending->fail(error.what());
        }
    });
}

template void call<store_service>(rpc_thread&, std::string, store_request,
                                  time_ms, rpc_done<store_service>);
template void call<worker_service>(rpc_thread&, std::string, worker_request,
                                   time_ms, rpc_done<worker_service>);
template void call<peer_service>(rpc_thread&, std::string, peer_request,
                                 time_ms, rpc_done<peer_service>);
template void call<operator_service>(rpc_thread&, std::string, operator_request,
                                     time_ms, rpc_done<operator_service>);

} // namespace jaydrift::net
