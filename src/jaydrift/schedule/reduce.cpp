#include <jaydrift/schedule/reduce.hpp>

#include <jaydrift/schedule/calls.hpp>
#include <jaydrift/schedule/event.hpp>
#include <jaydrift/schedule/layout.hpp>
#include <jaydrift/schedule/ownership.hpp>
#include <jaydrift/schedule/placement_policy.hpp>
#include <jaydrift/schedule/record_log.hpp>
#include <jaydrift/schedule/recovery.hpp>
#include <jaydrift/schedule/relocation.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/state.hpp>
#include <jaydrift/schedule/stopping.hpp>
#include <jaydrift/schedule/store_session.hpp>
#include <jaydrift/schedule/submissions.hpp>
#include <jaydrift/schedule/workers.hpp>

#include <utility>
#include <variant>

namespace jaydrift::schedule {

namespace {

/// Granularity of time limits; a tick costs the owner tens of microseconds.
constexpr time_ms owner_tick{20};
constexpr time_ms follower_tick{50};

void tick(context& c)
{
    c.s.next_tick =
        c.now + (layout::holds_any(c.s) ? owner_tick : follower_tick);
    store::tick(c);
    for (auto& shard : c.s.shards)
    {
        shard_context part(c, shard);
        ownership::tick(part);
        recovery::tick(part);
        submissions::tick(part);
        workers::tick(part);
        relocation::tick(part);
    }
    calls::tick(c);
    stopping::tick(c);
}

struct handler
{
    context& c;

    void operator()(timer_due const& input) const
    {
        c.s.wall_offset = input.wall - c.now;
    }
    void operator()(call_arrived const& input) const
    {
        calls::arrived(c, input);
    }
    void operator()(forward_replied const& input) const
    {
        calls::forwarded(c, input);
    }
    void operator()(store_replied const& input) const
    {
        store::replied(c, input);
    }
    void operator()(worker_replied const& input) const
    {
        workers::replied(c, input);
    }
    void operator()(message_arrived const& input) const
    {
        std::visit(
            [this](auto const& message) {
                if (message.shard < c.s.shards.size())
                {
                    shard_context part(c, c.s.shards[message.shard]);
                    ownership::received(part, message);
                }
            },
            input.message);
    }
    void operator()(settings_changed const& input) const
    {
        auto const own = std::exchange(c.s.options, input.options);
        c.s.options.node = own.node;
        c.s.options.address = own.address;
        c.s.options.incarnation = own.incarnation;
        c.log(log_level::info, "process", "settings read again");
    }
    void operator()(stop_requested const&) const { stopping::requested(c); }
};

} // namespace

state initial_state(settings options, time_ms now)
{
    state s;
    s.random = random_source(options.incarnation);
    s.options = std::move(options);
    s.last_step = now;
    s.next_tick = now;
    return s;
}

effects reduce(state& s, event const& input, time_ms now)
{
    effects out;
    context c{s, now, out};
    for (auto& shard : s.shards)
    {
        shard_context part(c, shard);
        ownership::check_gap(part);
    }
    std::visit(handler{c}, input);
    if (now >= s.next_tick)
    {
        tick(c);
    }
    for (auto& shard : s.shards)
    {
        shard_context part(c, shard);
        placement_policy::tick(part);
        record_log::tick(part);
    }
    s.last_step = now;
    return out;
}

time_ms next_timer(state const& s) { return s.next_tick; }

} // namespace jaydrift::schedule
