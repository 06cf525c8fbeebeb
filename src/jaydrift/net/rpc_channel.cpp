#include "rpc_channel.hpp"

#include "rpc_loop.hpp"

#include <kj/debug.h>

#include <algorithm>

namespace jaydrift::net {

namespace {

constexpr auto connect_timeout = 1 * kj::SECONDS;

/// Shortest time from a failed attempt to connect to the next one, so that
/// calls to a process that has stopped do not flood its VM with connections.
constexpr auto reconnect_delay = 100 * kj::MILLISECONDS;

} // namespace

rpc_channel::rpc_channel(rpc_loop& loop, std::string const& address)
    : loop_(loop), address_(loop.resolve(address)),
      next_attempt_at_(loop.timer().now())
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
        // The connection may have broken after it was opened and before this
        // branch of the promise runs.
        return kj::addRef(*KJ_REQUIRE_NONNULL(
            connection_, "the connection broke before the request was sent"));
    });
}

void rpc_channel::discard(rpc_connection const& connection)
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
    auto const delay =
        std::max(next_attempt_at_ - timer.now(), 0 * kj::SECONDS);
    return timer.afterDelay(delay)
        .then([this, &timer] {
            return timer.timeoutAfter(connect_timeout, address_->connect());
        })
        .then(
            [this](kj::Own<kj::AsyncIoStream> stream) {
                set_connection(kj::mv(stream));
            },
            [this](kj::Exception&& error) {
                is_opening_ = false;
                next_attempt_at_ = loop_.timer().now() + reconnect_delay;
                kj::throwFatalException(kj::mv(error));
            });
}

void rpc_channel::set_connection(kj::Own<kj::AsyncIoStream> stream)
{
    is_opening_ = false;
    auto connection = kj::refcounted<rpc_connection>(kj::mv(stream));
    loop_.spawn(
        connection->disconnected()
            .then([this, &connection = *connection] { discard(connection); })
            .attach(kj::addRef(*connection)));
    connection_ = kj::mv(connection);
}

} // namespace jaydrift::net
