#include <jaydrift/decide/prefix_watch.hpp>

#include <jaydrift/core/store_reply.hpp>
#include <jaydrift/decide/context.hpp>

#include <limits>

namespace jaydrift::decide {

namespace {

// Bounds how long a watch waits on a connection that broke without notice. The
// store replies to a watch after about 10 s if nothing changes.
constexpr time_ms watch_timeout{15000};

constexpr time_ms retry_delay{1000};

void send_watch(context& ctx, reducer_module owner, prefix_watch& watch)
{
    watch.correlation = ctx.next_correlation(owner);
    watch.watching = true;
    ctx.emit(send_store{watch.correlation, watch_timeout,
                        watch_request{watch.prefix, watch.revision}});
}

} // namespace

void advance(context& ctx, reducer_module owner, prefix_watch& watch)
{
    if (watch.correlation != 0 || ctx.now < watch.retry_at)
    {
        return;
    }
    watch.watching = false;
    watch.correlation = ctx.ask_store(owner, read_request{watch.prefix});
}

bool on_watch_replied(context& ctx, reducer_module owner, prefix_watch& watch,
                      store_reply const& reply)
{
    bool const lists_all =
        !watch.watching && reply.outcome == store_outcome::ok;
    if (reply.outcome != store_outcome::ok)
    {
        on_watch_failed(ctx, watch);
        return false;
    }
    watch.revision = reply.revision;
    watch.loaded = true;
    send_watch(ctx, owner, watch);
    return lists_all;
}

void on_watch_failed(context& ctx, prefix_watch& watch)
{
    watch.correlation = 0;
    watch.retry_at = watch.watching ? ctx.now : ctx.now + retry_delay;
    watch.watching = false;
}

time_ms next_timer(prefix_watch const& watch)
{
    return watch.correlation != 0
               ? time_ms(std::numeric_limits<std::int64_t>::max())
               : watch.retry_at;
}

} // namespace jaydrift::decide
