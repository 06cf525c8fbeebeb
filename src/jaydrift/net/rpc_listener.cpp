#include "rpc_listener.hpp"

#include "rpc_connection.hpp"
#include "rpc_limits.hpp"
#include "rpc_loop.hpp"

namespace jaydrift::net {

rpc_listener::rpc_listener(rpc_loop& loop,
                           kj::Own<kj::ConnectionReceiver> receiver,
                           capnp::Capability::Client service)
    : loop_(loop), receiver_(kj::mv(receiver)), service_(kj::mv(service))
{
}

kj::Promise<void> rpc_listener::run()
{
    return receiver_->accept()
        .then(
            [this](kj::Own<kj::AsyncIoStream> stream) -> kj::Promise<void> {
                accepted(kj::mv(stream));
                return kj::READY_NOW;
            },
            [this](kj::Exception&&) {
                // Such as no file descriptors left; try again a little later.
                return loop_.timer().afterDelay(100 * kj::MILLISECONDS);
            })
        .then([this] { return run(); });
}

void rpc_listener::accepted(kj::Own<kj::AsyncIoStream> stream)
{
    if (connections_ >= max_connections)
    {
        return; // closes it
    }
    auto connection = kj::refcounted<rpc_connection>(kj::mv(stream), service_);
    ++connections_;
    auto closed = connection->disconnected();
    loop_.spawn(closed.attach(kj::mv(connection),
                              kj::defer([this] { --connections_; })));
}

} // namespace jaydrift::net
