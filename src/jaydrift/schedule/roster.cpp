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

/// Without the store and a peer for so long, an owner may have been succeeded.
constexpr time_ms isolated_after{1200};

/// Members that have not answered for so long are removed.
constexpr time_ms member_retention{30000};

/// Members that have not answered for so long may no longer succeed. An owner
/// without the store stops if one that may succeed is silent, so a dead daemon
/// must not stay among them for long.
constexpr time_ms roster_retention{4000};

/// Bound the answers of the store, which come in milliseconds.
constexpr time_ms roster_limit{800};
constexpr time_ms removal_limit{600};

/// Time since a daemon has answered this owner, or since the owner began to
/// ask.
time_ms silence_of(shard_context const& c, std::string_view node)
{
    auto const member = c.s.members.find(node);
    auto const since = c.shard.owner.role_since;
    return c.now
           - (member == c.s.members.end()
                  ? since
                  : std::max(member->second.heard_at, since));
}

bool any_silent(shard_context const& c, roster_record const& roster)
{
    return std::any_of(roster.nodes.begin(), roster.nodes.end(),
                       [&c](std::string const& node) {
                           return node != c.s.options.node
                                  && silence_of(c, node) >= isolated_after;
                       });
}

} // namespace

void observe(shard_context& c, roster_record const& roster,
             std::uint64_t revision)
{
    if (revision > c.shard.owner.roster_revision)
    {
        c.shard.owner.roster = roster;
        c.shard.owner.roster_revision = revision;
    }
}

void replied(shard_context& c, store_replied const& reply)
{
    auto& owner = c.shard.owner;
    if (!owner.next_roster)
    {
        return;
    }
    auto const written = std::move(*owner.next_roster);
    owner.next_roster.reset();
    if (reply.status == store_status::ok)
    {
        observe(c, written, reply.revision);
        return;
    }
    ownership::take_conflict(c, reply);
    if (reply.status == store_status::lost)
    {
        // It may be in the store now or later; whom it admits has to be heard.
        owner.roster.nodes.insert(written.nodes.begin(), written.nodes.end());
    }
}

void update(shard_context& c)
{
    auto& owner = c.shard.owner;
    if (owner.next_roster || c.s.store.failing_since)
    {
        return;
    }
    roster_record next;
    next.nodes.insert(c.s.options.node);
    for (auto const& [node, member] : c.s.members)
    {
        auto const known = owner.roster.nodes.contains(node);
        auto const heard = member.heard_at >= owner.role_since
                           && c.now - member.heard_at < roster_retention;
        if (heard || (known && silence_of(c, node) < roster_retention))
        {
            next.nodes.insert(node);
        }
    }
    if (next == owner.roster && owner.roster_revision != 0)
    {
        return;
    }
    owner.next_roster = next;
    commit write;
    write.expected.emplace_back(shard_key(c, record_kind::owner),
                                owner.revision);
    write.expected.emplace_back(shard_key(c, record_kind::roster),
                                owner.roster_revision);
    write.puts.emplace_back(shard_key(c, record_kind::roster), std::move(next));
    store::call(c, store_purpose::write_roster, std::move(write), roster_limit);
}

bool cut_off(shard_context const& c)
{
    auto const& owner = c.shard.owner;
    return c.now - c.s.store.last_success >= isolated_after
           && (any_silent(c, owner.roster)
               || (owner.next_roster && any_silent(c, *owner.next_roster)));
}

void remove_dead_members(shard_context& c)
{
    for (auto const& [node, member] : c.s.members)
    {
        if (c.now - std::max(member.heard_at, c.shard.owner.role_since)
            >= member_retention)
        {
            c.log(log_level::info, "membership",
                  "removed " + node + ", silent for "
                      + std::to_string(member_retention.count()) + " ms");
            commit removal;
            removal.removals.push_back({record_kind::member, node});
            store::call(c, store_purpose::remove_member, std::move(removal),
                        removal_limit);
            c.s.members.erase(node);
            return;
        }
    }
}

} // namespace jaydrift::schedule::roster
