#include <jaydrift/schedule/ownership.hpp>

#include <jaydrift/core/hash.hpp>
#include <jaydrift/schedule/calls.hpp>
#include <jaydrift/schedule/event.hpp>
#include <jaydrift/schedule/recovery.hpp>
#include <jaydrift/schedule/relocation.hpp>
#include <jaydrift/schedule/shard_context.hpp>
#include <jaydrift/schedule/store_session.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace jaydrift::schedule::ownership {

namespace {

/// Interval for daemons that are not among the first to succeed.
constexpr time_ms slow_heartbeat_interval{900};

/// Daemons that hear the owner at the short interval: enough to find one alive
/// after the loss of a zone.
constexpr std::size_t watching_candidates = 7;

/// Growth of a shard's load, in thousandths, that other owners hear of at once:
/// hundreds of submissions may arrive between two heartbeats.
constexpr std::int64_t announced_growth = 10;
constexpr time_ms announcement_pause{8};

/// Heartbeats missed before an owner is suspected; datagrams are lost now and
/// then.
constexpr std::int64_t suspected_misses = 4;

/// Time for the peers' answers to an owner query.
constexpr time_ms query_wait{120};
constexpr time_ms claim_limit{600};
constexpr time_ms claim_pause{300};

/// Each candidate leaves the one before it this time for its claim.
constexpr time_ms claim_rank_delay{30};
constexpr std::size_t last_claim_rank = 10;
constexpr std::uint64_t claim_jitter_ms = 15;

/// Daemons of another region wait longer: a full link between the regions
/// delays heartbeats, and those in the owner's region know better.
constexpr time_ms other_region_delay{600};

/// The owner ticks every 20 ms; a longer gap means that it was frozen.
constexpr time_ms frozen_after{500};

/// An owner that the store shuts out yields to a peer that reaches it.
constexpr time_ms yield_after{500};
constexpr time_ms peer_fresh{500};

/// An owner that the store has not answered for so long hears all members at
/// the short interval, to tell an outage from a cut.
constexpr time_ms store_doubtful_after{600};

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

/// Without the store and a peer for so long, an owner may have been succeeded.
constexpr time_ms isolated_after{1200};

constexpr time_ms yield_limit{1500};
constexpr time_ms verify_limit{500};

/// Members that have not answered for so long are removed.
constexpr time_ms member_retention{30000};

/// Members that have not answered for so long may no longer succeed. An owner
/// without the store stops if one that may succeed is silent, so a dead daemon
/// must not stay among them for long.
constexpr time_ms roster_retention{4000};
constexpr time_ms roster_limit{800};

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

record_key owner_key(shard_context const& c)
{
    return {record_kind::owner, {}, c.shard.number};
}

record_key roster_key(shard_context const& c)
{
    return {record_kind::roster, {}, c.shard.number};
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

/// A daemon that may own the shard; `member` is null for this one.
struct candidate
{
    /// Shards that it would own, by its share of a core.
    double load = 0.0;

    /// Other shards that it owns.
    std::uint32_t others = 0;
    std::uint64_t order = 0;
    std::string_view node;
    member_state const* member = nullptr;
};

using owned_shards = std::map<std::string_view, std::uint32_t>;

/// Counts the other shards of each daemon.
owned_shards count_owned(shard_context const& c)
{
    owned_shards result;
    for (auto const& each : c.s.shards)
    {
        if (each.number == c.shard.number)
        {
            continue;
        }
        if (each.owner.role == owner_role::claiming)
        {
            ++result[c.s.options.node];
        }
        else if (each.owner.revision != 0)
        {
            ++result[each.owner.record.node];
        }
    }
    return result;
}

candidate make_candidate(shard_context const& c, owned_shards const& owned,
                         std::string_view node, double cpu_share)
{
    constexpr double smallest_share = 0.01;
    auto const found = owned.find(node);
    candidate result;
    result.others = found == owned.end() ? 0U : found->second;
    result.load = (result.others + 1.0) / std::max(smallest_share, cpu_share);
    result.order = rendezvous_score(std::to_string(c.shard.number), node);
    return result;
}

double own_load(shard_context const& c)
{
    return make_candidate(c, count_owned(c), c.s.options.node,
                          c.s.options.cpu_share)
        .load;
}

/// Returns the daemons other than the recorded owner, those that should own
/// the shard first.
std::vector<candidate> candidates(shard_context const& c)
{
    auto const owned = count_owned(c);
    std::vector<candidate> result;
    auto const add = [&](std::string_view node, double cpu_share,
                         member_state const* member) {
        if (node != c.shard.owner.record.node)
        {
            result.push_back(make_candidate(c, owned, node, cpu_share));
            result.back().node = node;
            result.back().member = member;
        }
    };
    add(c.s.options.node, c.s.options.cpu_share, nullptr);
    for (auto const& [node, member] : c.s.members)
    {
        add(node, member.cpu_share, &member);
    }
    std::sort(result.begin(), result.end(),
              [](candidate const& a, candidate const& b) {
                  return std::tie(a.load, a.order) < std::tie(b.load, b.order);
              });
    return result;
}

void own(shard_context& c)
{
    if (!holds_shard(c.shard.owner.role))
    {
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
    auto const key = owner_key(c);
    swap.expected.emplace_back(key, owner.revision);
    swap.expected.emplace_back(roster_key(c), owner.roster_revision);
    swap.puts.emplace_back(key, next);
    store::call(c, store_purpose::claim, std::move(swap), claim_limit);
}

void verify(shard_context& c)
{
    if (!c.shard.owner.verifying)
    {
        c.shard.owner.verifying = true;
        store::call(c, store_purpose::verify_owner, read_record{owner_key(c)},
                    verify_limit);
    }
}

void become_follower(shard_context& c, std::string_view reason)
{
    enter(c, owner_role::follower, reason);
    c.shard.owner.next_claim = c.now + claim_pause;
}

/// Idle and large daemons claim first.
time_ms claim_delay(shard_context const& c)
{
    if (c.shard.owner.record.node == c.s.options.node)
    {
        // An earlier life of this daemon owned the shard.
        return {};
    }
    auto const owner = c.s.members.find(c.shard.owner.record.node);
    auto const far = owner != c.s.members.end()
                     && owner->second.region != c.s.options.region;
    auto const all = candidates(c);
    auto const self =
        std::find_if(all.begin(), all.end(),
                     [](candidate const& each) { return !each.member; });
    auto const rank =
        std::min(last_claim_rank, static_cast<std::size_t>(self - all.begin()));
    return claim_rank_delay * static_cast<std::int64_t>(rank)
           + (far ? other_region_delay : time_ms(0));
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
    if (c.now >= *owner.queried_at + query_wait + claim_delay(c))
    {
        claim(c, absent ? "no owner" : "owner silent");
    }
}

heartbeat make_heartbeat(shard_context const& c)
{
    auto const& owner = c.shard.owner;
    return {c.shard.number, c.s.options.node,  c.s.options.address,
            owner.revision, owner.record.term, heartbeat_interval,
            c.shard.load};
}

void send_heartbeats(shard_context& c)
{
    auto& owner = c.shard.owner;
    if (c.now < owner.next_heartbeat)
    {
        return;
    }
    owner.next_heartbeat = c.now + heartbeat_interval;
    if (c.s.shards.size() > 1)
    {
        c.shard.load = relocation::measure(c);
        c.shard.announced_load = c.shard.load;
    }
    auto const all = c.now >= owner.next_full_heartbeat
                     || c.now - c.s.store.last_success >= store_doubtful_after;
    if (all)
    {
        owner.next_full_heartbeat = c.now + slow_heartbeat_interval;
    }
    auto message = make_heartbeat(c);
    std::size_t rank = 0;
    for (auto const& each : candidates(c))
    {
        // Owners of other shards follow the load.
        auto const often = rank++ < watching_candidates || each.others > 0;
        message.interval = often ? heartbeat_interval : slow_heartbeat_interval;
        if (each.member && (often || all))
        {
            c.emit(send_message{each.member->address, message});
        }
    }
}

/// Returns the first candidate that answered within `peer_fresh`, or none. The
/// store must have answered it since the given time. The one that was asked
/// last and did not succeed is left out.
std::optional<candidate> best_peer(shard_context const& c,
                                   time_ms store_heard_since)
{
    auto const& roster = c.shard.owner.roster.nodes;
    auto const all = candidates(c);
    auto const found =
        std::find_if(all.begin(), all.end(), [&](candidate const& each) {
            return each.member && roster.contains(each.node)
                   && !each.member->stopping
                   && each.member->address != c.shard.owner.successor
                   && c.now - each.member->heard_at < peer_fresh
                   && each.member->store_heard_at >= store_heard_since;
        });
    return found == all.end() ? std::nullopt : std::optional(*found);
}

void yield_to(shard_context& c, candidate const& successor,
              std::string_view reason)
{
    c.shard.owner.successor = successor.member->address;
    enter(c, owner_role::yielding, reason);
}

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

/// Tells whether the owner may be on the wrong side of a cut: it has not heard
/// of the store, and a daemon that may succeed is silent. That one may have the
/// store and have done so.
bool cut_off(shard_context const& c)
{
    auto const& owner = c.shard.owner;
    return c.now - c.s.store.last_success >= isolated_after
           && (any_silent(c, owner.roster)
               || (owner.next_roster && any_silent(c, *owner.next_roster)));
}

/// Admits members that answer to the roster, and removes silent ones.
void update_roster(shard_context& c)
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
    write.expected.emplace_back(owner_key(c), owner.revision);
    write.expected.emplace_back(roster_key(c), owner.roster_revision);
    write.puts.emplace_back(roster_key(c), std::move(next));
    store::call(c, store_purpose::write_roster, std::move(write), roster_limit);
}

void suspend(shard_context& c, std::string_view reason)
{
    enter(c, owner_role::suspended, reason);
    c.shard.owner.verifying = false;
    c.shard.owner.next_heartbeat = c.now;
}

void watch_own_health(shard_context& c)
{
    if (cut_off(c))
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
        if (auto const peer = best_peer(c, *failing + outage_overlap))
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
    if (auto const peer = best_peer(c, c.now - store_out_after))
    {
        yield_to(c, *peer, "stopping");
    }
}

/// Hands the shard to a daemon that carries much less, for instance after a
/// restart of several daemons.
void rebalance(shard_context& c)
{
    auto const busy =
        c.s.stopping_since || c.shard.log.in_flight || c.s.store.failing_since
        || c.now - c.shard.owner.role_since < rebalance_pause
        || std::any_of(c.s.shards.begin(), c.s.shards.end(),
                       [](shard_state const& each) {
                           return each.owner.role == owner_role::yielding;
                       });
    if (busy)
    {
        return;
    }
    auto const peer = best_peer(c, c.now - store_out_after);
    if (peer && peer->load * rebalance_gain <= own_load(c))
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
                        claim_limit);
            c.s.members.erase(node);
            return;
        }
    }
}

/// Takes the records that refused a transaction.
void take_conflict(shard_context& c, store_replied const& reply)
{
    for (auto const& item : reply.items)
    {
        if (auto const* const record = std::get_if<owner_record>(&item.record))
        {
            observe_record(c, *record, item.revision);
        }
        else if (auto const* const roster =
                     std::get_if<roster_record>(&item.record))
        {
            observe_roster(c, *roster, item.revision);
        }
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

void announce_load(shard_context& c)
{
    auto const growth = std::max(
        c.shard.load.firm - c.shard.announced_load.firm,
        c.shard.load.opportunistic - c.shard.announced_load.opportunistic);
    if (growth < announced_growth
        || c.now - c.shard.load_announced_at < announcement_pause)
    {
        return;
    }
    c.shard.announced_load = c.shard.load;
    c.shard.load_announced_at = c.now;
    auto const message = make_heartbeat(c);
    for (auto const& each : candidates(c))
    {
        if (each.member && each.others > 0)
        {
            c.emit(send_message{each.member->address, message});
        }
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

void observe_roster(shard_context& c, roster_record const& roster,
                    std::uint64_t revision)
{
    if (revision > c.shard.owner.roster_revision)
    {
        c.shard.owner.roster = roster;
        c.shard.owner.roster_revision = revision;
    }
}

void roster_replied(shard_context& c, store_replied const& reply)
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
        observe_roster(c, written, reply.revision);
        return;
    }
    take_conflict(c, reply);
    if (reply.status == store_status::lost)
    {
        // It may be in the store now or later; whom it admits has to be heard.
        owner.roster.nodes.insert(written.nodes.begin(), written.nodes.end());
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
        return send_heartbeats(c);
    case owner_role::owner:
        send_heartbeats(c);
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
            update_roster(c);
        }
        if (c.shard.number == 0)
        {
            remove_dead_members(c);
        }
        return;
    case owner_role::suspended:
        send_heartbeats(c);
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
