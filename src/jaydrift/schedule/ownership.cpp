#include <jaydrift/schedule/ownership.hpp>

#include <jaydrift/schedule/calls.hpp>
#include <jaydrift/schedule/candidates.hpp>
#include <jaydrift/schedule/event.hpp>
#include <jaydrift/schedule/heartbeats.hpp>
#include <jaydrift/schedule/recovery.hpp>
#include <jaydrift/schedule/roster.hpp>
#include <jaydrift/schedule/shard_key.hpp>
#include <jaydrift/schedule/store_session.hpp>

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

namespace jaydrift::schedule::ownership {

namespace {

/// Heartbeats missed before an owner is suspected; datagrams are lost now and
/// then.
constexpr std::int64_t suspected_misses = 4;

/// Time for the peers' answers to an owner query.
constexpr time_ms query_wait{120};
constexpr time_ms claim_limit{600};
constexpr time_ms claim_pause{300};

constexpr std::uint64_t claim_jitter_ms = 15;

/// The owner ticks every 20 ms; a longer gap means that it was frozen.
constexpr time_ms frozen_after{500};

/// An owner that the store shuts out yields to a peer that reaches it.
constexpr time_ms yield_after{500};

/// Shards move from loaded daemons to idle ones at this pace at most, since a
/// move stops the shard's starts for a fraction of a second.
constexpr time_ms rebalance_pause{5000};

/// A move must at least halve the load of the owner.
constexpr double rebalance_gain = 2.0;

/// An outage does not begin at the same moment for all daemons.
constexpr time_ms outage_overlap{250};

/// A watch is answered at least once a second, so a store that has been silent
/// for longer is out.
constexpr time_ms store_out_after{1800};

constexpr time_ms yield_limit{1500};
constexpr time_ms verify_limit{500};

/// A daemon that may not succeed does so all the same if the owner has been
/// silent for so long: all that may are gone.
constexpr time_ms stranger_wait{12000};

void enter(shard_context& c, owner_role role, std::string_view reason)
{
    auto& owner = c.shard.owner;
    static constexpr std::string_view names[] = {
        "follower", "claiming", "recovering", "owner", "suspended", "yielding"};
    c.log(log_level::info, "ownership",
          std::string(names[static_cast<int>(role)]) + " at revision "
              + std::to_string(owner.revision) + ": " + std::string(reason));
    owner.role = role;
    owner.role_since = c.now;
}

time_ms suspect_after(ownership_state const& owner)
{
    return owner.heartbeat_interval * suspected_misses;
}

bool is_self(shard_context const& c, owner_record const& record)
{
    return record.incarnation == c.s.options.incarnation
           && record.node == c.s.options.node;
}

void send_to_all(shard_context& c, peer_message const& message)
{
    for (auto const& [node, member] : c.s.members)
    {
        c.emit(send_message{member.address, message});
    }
}

void own(shard_context& c)
{
    if (!holds_shard(c.shard.owner.role))
    {
        c.shard.owner.successor.clear();
        enter(c, owner_role::recovering, "record swapped");
        recovery::begin(c);
    }
}

void claim(shard_context& c, std::string_view reason)
{
    auto& owner = c.shard.owner;
    owner.queried_at.reset();
    enter(c, owner_role::claiming, reason);
    owner_record const next{c.s.options.node, c.s.options.address,
                            owner.revision == 0 ? 0 : owner.record.term + 1,
                            c.s.options.incarnation};
    commit swap;
    auto const key = shard_key(c, record_kind::owner);
    swap.expected.emplace_back(key, owner.revision);
    swap.expected.emplace_back(shard_key(c, record_kind::roster),
                               owner.roster_revision);
    swap.puts.emplace_back(key, next);
    store::call(c, store_purpose::claim, std::move(swap), claim_limit);
}

void verify(shard_context& c)
{
    if (!c.shard.owner.verifying)
    {
        c.shard.owner.verifying = true;
        store::call(c, store_purpose::verify_owner,
                    read_record{shard_key(c, record_kind::owner)},
                    verify_limit);
    }
}

void become_follower(shard_context& c, std::string_view reason)
{
    enter(c, owner_role::follower, reason);
    c.shard.owner.next_claim = c.now + claim_pause;
}

void watch_owner(shard_context& c)
{
    auto& owner = c.shard.owner;
    if (!c.s.config || c.s.stopping_since || c.now < owner.next_claim)
    {
        return;
    }
    auto const stranger = owner.roster_revision != 0
                          && !owner.roster.nodes.contains(c.s.options.node);
    if (stranger && c.now - owner.heard_at < stranger_wait)
    {
        return;
    }
    auto const absent = owner.revision == 0;
    auto const silent = c.now - owner.heard_at >= suspect_after(owner);
    if (!absent && !silent)
    {
        return;
    }
    if (!owner.queried_at)
    {
        owner.queried_at = c.now;
        // The jitter separates daemons that know different members.
        auto const jitter =
            static_cast<std::int64_t>(c.s.random.below(claim_jitter_ms));
        owner.next_claim = c.now + query_wait + time_ms(jitter);
        send_to_all(c, owner_query{c.shard.number, c.s.options.node,
                                   c.s.options.address, owner.revision});
        return;
    }
    if (c.now >= *owner.queried_at + query_wait + candidates::claim_delay(c))
    {
        claim(c, absent ? "no owner" : "owner silent");
    }
}

void yield_to(shard_context& c, candidate const& successor,
              std::string_view reason)
{
    c.shard.owner.successor = successor.member->address;
    enter(c, owner_role::yielding, reason);
}

void suspend(shard_context& c, std::string_view reason)
{
    enter(c, owner_role::suspended, reason);
    c.shard.owner.verifying = false;
    c.shard.owner.next_heartbeat = c.now;
}

void watch_own_health(shard_context& c)
{
    if (roster::cut_off(c))
    {
        suspend(c, "without the store, and a member is silent");
        return;
    }
    auto const failing = c.s.store.failing_since;
    if (!failing)
    {
        return;
    }
    if (c.now - *failing >= yield_after)
    {
        if (auto const peer =
                candidates::best_peer(c, *failing + outage_overlap))
        {
            yield_to(c, *peer, "store reachable by a peer only");
        }
    }
}

void leave_gracefully(shard_context& c)
{
    if (!c.s.stopping_since || c.shard.log.in_flight)
    {
        return;
    }
    if (auto const peer = candidates::best_peer(c, c.now - store_out_after))
    {
        yield_to(c, *peer, "stopping");
    }
}

/// Hands the shard to a daemon that carries much less, for instance after a
/// restart of several daemons.
void rebalance(shard_context& c)
{
    auto const busy =
        c.s.stopping_since || c.s.store.failing_since
        || c.now - c.shard.owner.role_since < rebalance_pause
        || std::any_of(c.s.shards.begin(), c.s.shards.end(),
                       [](shard_state const& each) {
                           return each.owner.role == owner_role::yielding;
                       });
    if (busy)
    {
        return;
    }
    auto const peer = candidates::best_peer(c, c.now - store_out_after);
    if (peer && peer->load * rebalance_gain <= candidates::own_load(c))
    {
        yield_to(c, *peer, "another daemon carries less");
    }
}

void yield(shard_context& c)
{
    auto& owner = c.shard.owner;
    if (c.now - owner.role_since >= yield_limit)
    {
        suspend(c, "nobody succeeded");
        return;
    }
    if (c.now >= owner.next_heartbeat)
    {
        owner.next_heartbeat = c.now + heartbeat_interval;
        c.emit(send_message{
            owner.successor,
            yield_request{c.shard.number, c.s.options.node, owner.revision}});
    }
}

} // namespace

void observe_record(shard_context& c, owner_record const& record,
                    std::uint64_t revision)
{
    auto& owner = c.shard.owner;
    if (revision <= owner.revision)
    {
        return;
    }
    owner.record = record;
    owner.revision = revision;
    owner.heard_at = c.now;
    owner.heartbeat_interval = heartbeat_interval;
    owner.queried_at.reset();
    if (is_self(c, record))
    {
        own(c);
        return;
    }
    if (holds_shard(owner.role))
    {
        step_down(c);
    }
    else if (record.node == c.s.options.node)
    {
        // An earlier life of this daemon, which nobody can hear any more.
        owner.heard_at = c.now - suspect_after(owner);
        owner.queried_at = c.now - query_wait;
        owner.next_claim = c.now;
    }
}

void step_down(shard_context& c)
{
    become_follower(c, "succeeded");
    c.shard.owner.next_roster.reset();
    c.shard.owner.heard_at = c.now;
    calls::log_abandoned(c);
    recovery::forget(c);
}

void take_conflict(shard_context& c, store_replied const& reply)
{
    for (auto const& item : reply.items)
    {
        if (auto const* const record = std::get_if<owner_record>(&item.record))
        {
            observe_record(c, *record, item.revision);
        }
        else if (auto const* const record =
                     std::get_if<roster_record>(&item.record))
        {
            roster::observe(c, *record, item.revision);
        }
    }
}

void claim_replied(shard_context& c, store_replied const& reply)
{
    auto& owner = c.shard.owner;
    if (owner.role != owner_role::claiming)
    {
        return;
    }
    if (reply.status == store_status::ok)
    {
        owner_record const won{c.s.options.node, c.s.options.address,
                               owner.revision == 0 ? 0 : owner.record.term + 1,
                               c.s.options.incarnation};
        observe_record(c, won, reply.revision);
        return;
    }
    become_follower(c, reply.status == store_status::conflict
                           ? "another daemon was first"
                           : "no answer to the claim");
    take_conflict(c, reply);
    if (reply.status == store_status::lost)
    {
        verify(c);
    }
}

void verify_replied(shard_context& c, store_replied const& reply)
{
    auto& owner = c.shard.owner;
    owner.verifying = false;
    if (reply.status != store_status::ok)
    {
        return;
    }
    for (auto const& item : reply.items)
    {
        if (auto const* const record = std::get_if<owner_record>(&item.record))
        {
            observe_record(c, *record, item.revision);
            if (owner.role == owner_role::suspended
                && item.revision == owner.revision)
            {
                enter(c, owner_role::owner, "confirmed by the store");
            }
        }
    }
}

void check_gap(shard_context& c)
{
    auto const gap = c.now - c.s.last_step;
    if (c.shard.owner.role == owner_role::owner && gap >= frozen_after)
    {
        suspend(c, "clock gap of " + std::to_string(gap.count()) + " ms");
    }
}

void tick(shard_context& c)
{
    switch (c.shard.owner.role)
    {
    case owner_role::follower:
        return watch_owner(c);
    case owner_role::claiming:
        return;
    case owner_role::recovering:
        return heartbeats::send(c);
    case owner_role::owner:
        heartbeats::send(c);
        watch_own_health(c);
        if (c.shard.owner.role == owner_role::owner)
        {
            leave_gracefully(c);
        }
        if (c.shard.owner.role == owner_role::owner)
        {
            rebalance(c);
        }
        if (c.shard.owner.role == owner_role::owner)
        {
            roster::update(c);
        }
        if (c.shard.number == 0)
        {
            roster::remove_dead_members(c);
        }
        return;
    case owner_role::suspended:
        heartbeats::send(c);
        return verify(c);
    case owner_role::yielding:
        return yield(c);
    }
}

void received(shard_context& c, heartbeat const& message)
{
    auto& owner = c.shard.owner;
    auto const member = c.s.members.find(message.node);
    if (message.revision > owner.revision)
    {
        observe_record(
            c, owner_record{message.node, message.address, message.term, 0},
            message.revision);
    }
    if (message.revision == owner.revision && message.node == owner.record.node)
    {
        owner.heard_at = c.now;
        owner.heartbeat_at = c.now;
        owner.heartbeat_interval = message.interval;
        c.shard.load = message.load;
        owner.queried_at.reset();
    }
    if (member == c.s.members.end())
    {
        c.s.members[message.node].address = message.address;
    }
    c.emit(send_message{message.address,
                        heartbeat_reply{c.shard.number, c.s.options.node,
                                        owner.revision,
                                        c.now - c.s.store.last_success,
                                        c.s.stopping_since.has_value()}});
}

void received(shard_context& c, heartbeat_reply const& message)
{
    auto const found = c.s.members.find(message.node);
    if (found == c.s.members.end())
    {
        return;
    }
    auto& owner = c.shard.owner;
    found->second.heard_at = c.now;
    found->second.stopping = message.stopping;
    found->second.store_heard_at = c.now - message.store_age;
    if (!holds_shard(owner.role))
    {
        return;
    }
    if (message.revision > owner.revision)
    {
        // The record changes with each owner, so there is a newer one.
        step_down(c);
    }
}

void received(shard_context& c, owner_query const& message)
{
    auto const age = holds_shard(c.shard.owner.role)
                         ? time_ms(0)
                         : c.now - c.shard.owner.heartbeat_at;
    c.emit(send_message{message.address,
                        owner_sighting{c.shard.number, c.s.options.node,
                                       c.shard.owner.revision, age}});
}

void received(shard_context& c, owner_sighting const& message)
{
    auto& owner = c.shard.owner;
    if (message.revision == owner.revision
        && message.age < suspect_after(owner))
    {
        owner.heard_at = c.now - message.age;
        owner.queried_at.reset();
        owner.next_claim = c.now;
    }
}

void received(shard_context& c, yield_request const& message)
{
    if (c.shard.owner.role == owner_role::follower && !c.s.stopping_since
        && message.revision == c.shard.owner.revision)
    {
        claim(c, "asked by " + message.node);
    }
}

} // namespace jaydrift::schedule::ownership
