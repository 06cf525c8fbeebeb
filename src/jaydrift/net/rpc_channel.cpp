#include "rpc_channel.hpp"

#include "rpc_loop.hpp"

#include <kj/debug.h>

#include <algorithm>

namespace jaydrift::net {

namespace {

constexpr auto connect_timeout = 1 * kj::SECONDS;

/// Shortest time between two attempts to connect, so that calls to a dead
/// process do not flood its VM with connections.
constexpr auto backoff = 100 * kj::MILLISECONDS;

} // namespace

rpc_channel::rpc_channel(rpc_loop& loop, std::string address)
    : loop_(loop), address_(std::move(address)), retry_at_(loop.timer().now())
{
}

kj::Promise<kj::Own<rpc_connection>> rpc_channel::connect()
{
    KJ_IF_MAYBE (connection, connection_)
    {
        return kj::addRef(**connection);
    }
    if (!is_opening_)
    {
        is_opening_ = true;
        opening_ = open().fork();
    }
    return KJ_ASSERT_NONNULL(opening_).addBranch().then([this] {
        // The connection may have broken between its making and this branch.
        return kj::addRef(
            *KJ_REQUIRE_NONNULL(connection_, "the connection broke"));
    });
}

void rpc_channel::drop(rpc_connection const& connection)
{
    KJ_IF_MAYBE (current, connection_)
    {
        if (current->get() == &connection)
        {
            connection_ = nullptr;
        }
    }
}

kj::Promise<void> rpc_channel::open()
{
    auto& timer = loop_.timer();
    auto address = loop_.address(address_);
    auto const wait = std::max(retry_at_ - timer.now(), 0 * kj::SECONDS);
    return timer.afterDelay(wait)
        .then([&timer, address = kj::mv(address)]() mutable {
            auto connecting = address->connect();
            return timer.timeoutAfter(connect_timeout,
                                      connecting.attach(kj::mv(address)));
        })
        .then(
            [this](kj::Own<kj::AsyncIoStream> stream) {
                opened(kj::mv(stream));
            },
            [this](kj::Exception&& error) {
                is_opening_ = false;
                retry_at_ = loop_.timer().now() + backoff;
                kj::throwFatalException(kj::mv(error));
            });
}

void rpc_channel::opened(kj::Own<kj::AsyncIoStream> stream)
{
    is_opening_ = false;
    auto connection = kj::refcounted<rpc_connection>(kj::mv(stream));
    loop_.spawn(
        connection->disconnected()
            .then([this, &connection = *connection] { drop(connection); })
            .attach(kj::addRef(*connection)));
    connection_ = kj::mv(connection);
}

} // namespace jaydrift::net
