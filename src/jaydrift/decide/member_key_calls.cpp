#include <jaydrift/decide/member_key_calls.hpp>

#include <jaydrift/core/store_reply.hpp>
#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/member_text.hpp>

#include <limits>

namespace jaydrift::decide::member_key_calls {

namespace {

constexpr time_ms retry_delay{1000};

/// Returns the next call: grant a lease, write the key or keep the lease alive.
store_request next_request(context& ctx)
{
    auto const& key = ctx.state.membership.key;
    auto const& settings = ctx.state.settings;
    if (key.lease == 0)
    {
        return grant_lease_request{settings.member_lease};
    }
    if (key.written)
    {
        return keep_alive_request{key.lease};
    }
    auto const& self = settings.self;
    return put_request{"members/" + self.daemon,
                       encode_member(self),
                       {},
                       self.daemon + '/' + std::to_string(key.lease) + '/'
                           + std::to_string(ctx.state.last_correlation),
                       key.lease};
}

} // namespace

void advance(context& ctx)
{
    auto& key = ctx.state.membership.key;
    if (key.correlation == 0 && ctx.now >= key.next_call)
    {
        key.correlation =
            ctx.ask_store(reducer_module::membership, next_request(ctx));
    }
}

void on_replied(context& ctx, store_reply const& reply)
{
    auto& key = ctx.state.membership.key;
    key.correlation = 0;
    key.next_call = ctx.now + retry_delay;
    if (reply.outcome == store_outcome::overloaded)
    {
        return;
    }
    if (reply.outcome != store_outcome::ok)
    {
        key.lease = 0;
        key.written = false;
        return;
    }
    if (key.lease == 0)
    {
        key.lease = reply.lease;
        key.next_call = ctx.now;
        return advance(ctx);
    }
    key.written = true;
    // Two keep-alive calls in a row may be lost before the lease expires.
    key.next_call =
        ctx.now + time_ms(ctx.state.settings.member_lease.count() / 3);
}

void on_failed(context& ctx)
{
    auto& key = ctx.state.membership.key;
    key.correlation = 0;
    key.next_call = ctx.now + retry_delay;
}

time_ms next_timer(member_key const& key)
{
    return key.correlation != 0
               ? time_ms(std::numeric_limits<std::int64_t>::max())
               : key.next_call;
}

} // namespace jaydrift::decide::member_key_calls
