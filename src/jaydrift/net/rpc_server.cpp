#include <jaydrift/net/rpc_server.hpp>

#include "rpc_codec.hpp"
#include "rpc_listener.hpp"
#include "rpc_loop.hpp"

#include <jaydrift/net/net_error.hpp>
#include <jaydrift/net/rpc_thread.hpp>

#include <kj/debug.h>

#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>

namespace jaydrift::net {

namespace {

/// Cap'n Proto server of a service: decodes each call, passes it to a handler
/// and sends the reply that the handler's responder gives.
template<coded_service Service>
class service_server final : public Service::interface::Server
{
public:
    service_server(std::shared_ptr<work_queue> queue,
                   rpc_handler<Service> handler)
        : queue_(std::move(queue)), handler_(std::move(handler))
    {
    }

private:
    using reply = typename Service::reply;
    using call_context = typename Service::interface::Server::CallContext;

    kj::Promise<void> call(call_context context) override
    {
        if (calls_in_flight_.size() >= max_calls_in_flight)
        {
            kj::throwFatalException(
                KJ_EXCEPTION(OVERLOADED, "too many calls in flight"));
        }
        auto request = decode(context.getParams().getRequest());
        context.releaseParams();
        auto const call_id = ++last_call_id_;
        auto pending_reply = kj::newPromiseAndFulfiller<reply>();
        calls_in_flight_.emplace(call_id, kj::mv(pending_reply.fulfiller));
        handler_(std::move(request), make_responder(call_id));
        return pending_reply.promise.then([context](reply value) mutable {
            encode_bounded(value, context.initResults().initReply());
        });
    }

    /// Returns a responder that passes the reply to the RPC thread.
    responder<reply> make_responder(std::uint64_t call_id)
    {
        return responder<reply>([this, call_id,
                                 queue = queue_](std::optional<reply> value) {
            // `this` stays valid: work runs only before the loop stops, and
            // the server exists until then.
            queue->post([this, call_id, value = std::move(value)]() mutable {
                finish(call_id, std::move(value));
            });
        });
    }

    /// Ends a call with a reply, or with a failure if there is none.
    void finish(std::uint64_t call_id, std::optional<reply> value)
    {
        auto node = calls_in_flight_.extract(call_id);
        if (value)
        {
            node.mapped()->fulfill(*std::move(value));
        }
        else
        {
            node.mapped()->reject(KJ_EXCEPTION(FAILED, "the call was dropped"));
        }
    }

    std::shared_ptr<work_queue> queue_;
    rpc_handler<Service> handler_;
    std::uint64_t last_call_id_ = 0;
    std::unordered_map<std::uint64_t, kj::Own<kj::PromiseFulfiller<reply>>>
        calls_in_flight_;
};

/// Listens on `bind_address` (`ip:port`), starts to accept connections and
/// returns the port. The loop owns the listener.
std::uint16_t listen(rpc_loop& loop, std::string_view bind_address,
                     capnp::Capability::Client service)
{
    auto receiver = loop.resolve(bind_address)->listen();
    auto const port = static_cast<std::uint16_t>(receiver->getPort());
    auto const listener =
        std::make_shared<rpc_listener>(loop, kj::mv(receiver), kj::mv(service));
    loop.retain(listener);
    loop.spawn(listener->run());
    return port;
}

} // namespace

template<rpc_service Service>
std::uint16_t serve(rpc_thread& thread, std::string_view bind_address,
                    rpc_handler<Service> handler)
{
    auto& loop = thread.loop();
    return loop.run([&] {
        return listen(loop, bind_address,
                      kj::heap<service_server<Service>>(loop.queue(),
                                                        std::move(handler)));
    });
}

template std::uint16_t serve<store_service>(rpc_thread&, std::string_view,
                                            rpc_handler<store_service>);
template std::uint16_t serve<worker_service>(rpc_thread&, std::string_view,
                                             rpc_handler<worker_service>);
template std::uint16_t serve<peer_service>(rpc_thread&, std::string_view,
                                           rpc_handler<peer_service>);
template std::uint16_t serve<operator_service>(rpc_thread&, std::string_view,
                                               rpc_handler<operator_service>);

} // namespace jaydrift::net
