#include "rpc_listener.hpp"

#include "rpc_connection.hpp"
#include "rpc_limits.hpp"
#include "rpc_loop.hpp"

namespace jaydrift::net {

namespace {

/// Time from a failed accept to the next one.
constexpr auto accept_retry_delay = 100 * kj::MILLISECONDS;

} // namespace

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
                add_connection(kj::mv(stream));
                return kj::READY_NOW;
            },
            [this](kj::Exception&&) {
                // Accept may fail for a passing reason, such as a lack of file
                // descriptors.
                return loop_.timer().afterDelay(accept_retry_delay);
            })
        .then([this] { return run(); });
}

void rpc_listener::add_connection(kj::Own<kj::AsyncIoStream> stream)
{
    if (open_connections_ >= max_connections)
    {
        return; // destroying the stream closes the connection
    }
    auto connection = kj::refcounted<rpc_connection>(kj::mv(stream), service_);
    ++open_connections_;
    auto closed = connection->disconnected();
    loop_.spawn(closed.attach(kj::mv(connection),
                              kj::defer([this] { --open_connections_; })));
}

} // namespace jaydrift::net
