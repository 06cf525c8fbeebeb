#include <jaydrift/schedule/roster.hpp>

#include <jaydrift/schedule/event.hpp>
#include <jaydrift/schedule/ownership.hpp>
#include <jaydrift/schedule/shard_key.hpp>
#include <jaydrift/schedule/store_session.hpp>

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

namespace jaydrift::schedule::roster {

namespace {

/// If neither the store nor a daemon of the roster has answered for this long,
/// that daemon may have taken over.
constexpr time_ms isolated_after{1200};

/// The records of members that have not answered for this long are removed.
constexpr time_ms member_retention{30000};

/// Members that have not answered for this long are removed from the roster.
/// During an outage of the store, an owner stops if a daemon of the roster is
/// silent for `isolated_after`, so a dead one must not stay there for long.
constexpr time_ms roster_retention{4000};

/// Time limits of calls to the store, which normally answers within
/// milliseconds.
constexpr time_ms roster_time_limit{800};
constexpr time_ms removal_time_limit{600};

/// Returns the time since the daemon last answered, or since this daemon took
/// on its present role if that is later.
time_ms time_since_reply(shard_context const& ctx, std::string_view node)
{
    auto const member = ctx.state.members.find(node);
    auto const since = ctx.shard.ownership.role_since;
    return ctx.now
           - (member == ctx.state.members.end()
                  ? since
                  : std::max(member->second.last_reply_at, since));
}

/// Returns whether another daemon of the roster has not answered for
/// `isolated_after`.
bool any_silent(shard_context const& ctx, roster_record const& roster)
{
    return std::any_of(roster.nodes.begin(), roster.nodes.end(),
                       [&ctx](std::string const& node) {
                           return node != ctx.state.options.node
                                  && time_since_reply(ctx, node)
                                         >= isolated_after;
                       });
}

} // namespace

void observe(shard_context& ctx, roster_record const& roster,
             std::uint64_t revision)
{
    if (revision > ctx.shard.ownership.roster_revision)
    {
        ctx.shard.ownership.roster = roster;
        ctx.shard.ownership.roster_revision = revision;
    }
}

void replied(shard_context& ctx, store_replied const& reply)
{
    auto& ownership = ctx.shard.ownership;
    if (!ownership.next_roster)
    {
        return;
    }
    auto const written = std::move(*ownership.next_roster);
    ownership.next_roster.reset();
    if (reply.status == store_status::ok)
    {
        observe(ctx, written, reply.revision);
        return;
    }
    ownership::observe_conflict(ctx, reply);
    if (reply.status == store_status::lost)
    {
        // The store may carry the write out later, so the daemons that it adds
        // must answer like those of the known roster.
        ownership.roster.nodes.insert(written.nodes.begin(),
                                      written.nodes.end());
    }
}

void update(shard_context& ctx)
{
    auto& ownership = ctx.shard.ownership;
    if (ownership.next_roster || ctx.state.store.failing_since)
    {
        return;
    }
    roster_record next;
    next.nodes.insert(ctx.state.options.node);
    for (auto const& [node, member] : ctx.state.members)
    {
        auto const in_roster = ownership.roster.nodes.contains(node);
        auto const heard = member.last_reply_at >= ownership.role_since
                           && ctx.now - member.last_reply_at < roster_retention;
        if (heard
            || (in_roster && time_since_reply(ctx, node) < roster_retention))
        {
            next.nodes.insert(node);
        }
    }
    if (next == ownership.roster && ownership.roster_revision != 0)
    {
        return;
    }
    ownership.next_roster = next;
    store_transaction write;
    write.expected.emplace_back(shard_key(ctx, record_kind::owner),
                                ownership.revision);
    write.expected.emplace_back(shard_key(ctx, record_kind::roster),
                                ownership.roster_revision);
    write.puts.emplace_back(shard_key(ctx, record_kind::roster),
                            std::move(next));
    store_session::call(ctx, store_purpose::write_roster, std::move(write),
                        roster_time_limit);
}

bool may_be_partitioned(shard_context const& ctx)
{
    auto const& ownership = ctx.shard.ownership;
    return ctx.now - ctx.state.store.last_success >= isolated_after
           && (any_silent(ctx, ownership.roster)
               || (ownership.next_roster
                   && any_silent(ctx, *ownership.next_roster)));
}

void remove_dead_members(shard_context& ctx)
{
    for (auto const& [node, member] : ctx.state.members)
    {
        if (ctx.now
                - std::max(member.last_reply_at, ctx.shard.ownership.role_since)
            >= member_retention)
        {
            ctx.log(log_level::info, "membership",
                    "removed " + node + ", no answer for "
                        + std::to_string(member_retention.count()) + " ms");
            store_transaction removal;
            removal.removals.push_back({record_kind::member, node});
            store_session::call(ctx, store_purpose::remove_member,
                                std::move(removal), removal_time_limit);
            ctx.state.members.erase(node);
            return;
        }
    }
}

} // namespace jaydrift::schedule::roster
