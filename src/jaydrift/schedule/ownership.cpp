#include <jaydrift/schedule/ownership.hpp>

#include <jaydrift/schedule/calls.hpp>
#include <jaydrift/schedule/candidates.hpp>
#include <jaydrift/schedule/event.hpp>
#include <jaydrift/schedule/heartbeats.hpp>
#include <jaydrift/schedule/limits.hpp>
#include <jaydrift/schedule/recovery.hpp>
#include <jaydrift/schedule/roster.hpp>
#include <jaydrift/schedule/shard_key.hpp>
#include <jaydrift/schedule/silent_calls.hpp>
#include <jaydrift/schedule/silent_owner.hpp>
#include <jaydrift/schedule/store_session.hpp>

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

namespace jaydrift::schedule::ownership {

namespace {

/// Time for the peers' replies to an owner query.
constexpr time_ms query_wait{120};
constexpr time_ms claim_time_limit{600};

/// Time without claims after a failed claim or the loss of the shard.
constexpr time_ms claim_pause{300};

/// Separates the claims of daemons that know different members, and so rank the
/// candidates differently.
constexpr std::uint64_t claim_jitter_ms = 15;

/// An owner without a reply of the store for this long hands the shard over to
/// a peer that reaches the store.
constexpr time_ms yield_after{500};

/// An owner keeps a shard at least this long before it hands it over to a less
/// loaded daemon, since nothing starts in the shard for a fraction of a second
/// meanwhile.
constexpr time_ms min_rebalance_interval{5000};

/// A shard is handed over only if its new owner would have at most half of the
/// load of the present one.
constexpr double rebalance_gain = 2.0;

/// An outage of the store does not begin at the same moment for all daemons:
/// only peers that the store has answered this long after the first failure
/// here are taken to reach it.
constexpr time_ms outage_start_spread{250};

/// Once a peer is known to reach the store, the owner asks the store again and
/// keeps the shard if it answers within this time: after an outage, daemons
/// notice the store's return one after the other.
constexpr time_ms store_answer_wait{250};

/// Watches are answered at least once a second, so a peer that the store has
/// not answered for this long does not reach it.
constexpr time_ms store_out_after{1800};

/// Time for the successor to take over.
constexpr time_ms yield_time_limit{1500};
constexpr time_ms verify_time_limit{500};

/// A daemon outside of the roster may claim the shard once the owner has been
/// silent for this long. This assumes that all daemons of the roster are gone
/// by then; nothing checks it.
constexpr time_ms outside_roster_wait{12000};

/// Changes the role of this daemon and logs it.
void change_role(shard_context& ctx, owner_role role, std::string_view reason)
{
    auto& ownership = ctx.shard.ownership;
    static constexpr std::string_view names[] = {
        "follower", "claiming", "recovering", "owner", "suspended", "yielding"};
    ctx.log(log_level::info, "ownership",
            std::string(names[static_cast<int>(role)]) + " at revision "
                + std::to_string(ownership.revision) + ": "
                + std::string(reason));
    ownership.role = role;
    ownership.role_since = ctx.now;
}

/// Returns whether the record was written by this process, not by an earlier
/// one under the same name.
bool is_self(shard_context const& ctx, owner_record const& record)
{
    return record.incarnation == ctx.state.options.incarnation
           && record.node == ctx.state.options.node;
}

void send_to_all(shard_context& ctx, peer_message const& message)
{
    for (auto const& [node, member] : ctx.state.members)
    {
        ctx.emit(send_message{member.address, message});
    }
}

void begin_recovery(shard_context& ctx)
{
    if (!holds_shard(ctx.shard.ownership.role))
    {
        ctx.shard.ownership.asked_address.clear();
        change_role(ctx, owner_role::recovering, "owner record written");
        recovery::begin(ctx);
    }
}

/// Returns the term of the next owner record.
std::uint64_t next_term(ownership_state const& ownership)
{
    constexpr auto last = static_cast<std::uint64_t>(limits::max_term);
    return ownership.revision == 0 ? 0
                                   : std::min(ownership.record.term + 1, last);
}

/// Tries to replace the known owner record, or its absence, by one of this
/// daemon.
void claim(shard_context& ctx, std::string_view reason)
{
    auto& ownership = ctx.shard.ownership;
    ownership.queried_at.reset();
    change_role(ctx, owner_role::claiming, reason);
    owner_record const next{ctx.state.options.node, ctx.state.options.address,
                            next_term(ownership),
                            ctx.state.options.incarnation};
    ownership.claimed_revision = ownership.revision;
    store_transaction write;
    auto const key = shard_key(ctx, record_kind::owner);
    write.expected.emplace_back(key, ownership.revision);
    write.expected.emplace_back(shard_key(ctx, record_kind::roster),
                                ownership.roster_revision);
    write.puts.emplace_back(key, next);
    store_session::call(ctx, store_purpose::claim, std::move(write),
                        claim_time_limit);
}

/// Reads the owner record unless a read is in flight.
void verify(shard_context& ctx)
{
    if (!ctx.shard.ownership.verifying)
    {
        ctx.shard.ownership.verifying = true;
        store_session::call(ctx, store_purpose::verify_owner,
                            read_record{shard_key(ctx, record_kind::owner)},
                            verify_time_limit);
    }
}

void become_follower(shard_context& ctx, std::string_view reason)
{
    change_role(ctx, owner_role::follower, reason);
    ctx.shard.ownership.next_claim = ctx.now + claim_pause;
}

/// Claims the shard if its owner is absent or dead. First asks the peers
/// whether they hear the owner and the store whether it writes, and leaves
/// better candidates time for their claims.
void check_owner(shard_context& ctx)
{
    auto& ownership = ctx.shard.ownership;
    if (!ctx.state.config || ctx.state.stopping_since
        || ctx.now < ownership.next_claim)
    {
        return;
    }
    auto const outside_roster =
        ownership.roster_revision != 0
        && !ownership.roster.nodes.contains(ctx.state.options.node);
    if (outside_roster
        && ctx.now - ownership.owner_alive_at < outside_roster_wait)
    {
        return;
    }
    silent_owner::watch(ctx);
    auto const no_owner = ownership.revision == 0;
    auto const silent = ctx.now - ownership.owner_alive_at
                        >= silent_owner::suspect_after(ownership);
    if (!no_owner && !silent)
    {
        return;
    }
    if (!ownership.queried_at)
    {
        ownership.queried_at = ctx.now;
        auto const jitter =
            static_cast<std::int64_t>(ctx.state.random.below(claim_jitter_ms));
        ownership.next_claim = ctx.now + query_wait + time_ms(jitter);
        send_to_all(ctx,
                    owner_query{ctx.shard.number, ctx.state.options.node,
                                ctx.state.options.address, ownership.revision});
        return;
    }
    if (ctx.now
            >= *ownership.queried_at + query_wait + candidates::claim_delay(ctx)
        && (no_owner || silent_owner::may_claim(ctx)))
    {
        claim(ctx, no_owner ? "no owner" : "the owner is silent");
    }
}

/// Enters the role `yielding`, in which this daemon asks a peer to take over
/// and starts no tasks. Replies of workers may still cause stop orders.
void yield_to(shard_context& ctx, candidate const& successor,
              std::string_view reason)
{
    ctx.shard.ownership.asked_address = successor.member->address;
    change_role(ctx, owner_role::yielding, reason);
}

/// Enters the role `suspended`, in which this daemon starts no tasks and
/// extends no leases until the store confirms the ownership.
void suspend(shard_context& ctx, std::string_view reason)
{
    change_role(ctx, owner_role::suspended, reason);
    // No orders are sent until then, so a worker may start again unnoticed.
    for (auto& [id, worker] : ctx.shard.workers)
    {
        worker.process_confirmed = false;
    }
    ctx.shard.ownership.verifying = false;
    ctx.shard.ownership.next_heartbeat = ctx.now;
}

/// Suspends the owner or hands the shard over if the store does not answer this
/// daemon but may answer others.
void check_store_access(shard_context& ctx)
{
    if (roster::may_be_partitioned(ctx))
    {
        suspend(ctx, "the store and a daemon of the roster do not answer");
        return;
    }
    auto const failing = ctx.state.store.failing_since;
    if (!failing)
    {
        return;
    }
    if (ctx.now - *failing < yield_after)
    {
        return;
    }
    auto const peer =
        candidates::best_peer(ctx, *failing + outage_start_spread);
    if (!peer)
    {
        return;
    }
    auto& reached_at = ctx.shard.ownership.peer_reached_store_at;
    if (!reached_at || *reached_at < *failing)
    {
        reached_at = ctx.now;
        silent_calls::probe(ctx);
    }
    if (ctx.now - *reached_at >= store_answer_wait)
    {
        yield_to(ctx, *peer, "only a peer reaches the store");
    }
}

/// Hands the shard over to a peer that stays if this daemon stops. Waits for
/// the transaction in flight.
void yield_if_stopping(shard_context& ctx)
{
    if (!ctx.state.stopping_since || ctx.shard.record_log.in_flight)
    {
        return;
    }
    if (auto const peer = candidates::best_peer(ctx, ctx.now - store_out_after))
    {
        yield_to(ctx, *peer, "stopping");
    }
}

/// Hands the shard over to a daemon with a much lower load, for instance after
/// several daemons have been restarted.
void rebalance(shard_context& ctx)
{
    auto const postponed =
        ctx.state.stopping_since || ctx.state.store.failing_since
        || ctx.now - ctx.shard.ownership.role_since < min_rebalance_interval
        || std::any_of(ctx.state.shards.begin(), ctx.state.shards.end(),
                       [](shard_state const& each) {
                           return each.ownership.role == owner_role::yielding;
                       });
    if (postponed)
    {
        return;
    }
    auto const peer = candidates::best_peer(ctx, ctx.now - store_out_after);
    if (peer && peer->load * rebalance_gain <= candidates::own_load(ctx))
    {
        yield_to(ctx, *peer, "another daemon has less load");
    }
}

/// Repeats the request to take over; gives up after `yield_time_limit`.
void ask_successor(shard_context& ctx)
{
    auto& ownership = ctx.shard.ownership;
    if (ctx.now - ownership.role_since >= yield_time_limit)
    {
        suspend(ctx, "no daemon took over");
        return;
    }
    if (ctx.now >= ownership.next_heartbeat)
    {
        ownership.next_heartbeat = ctx.now + heartbeat_interval;
        ctx.emit(
            send_message{ownership.asked_address,
                         yield_request{ctx.shard.number, ctx.state.options.node,
                                       ownership.revision}});
    }
}

/// Forgets the known owner record if the store, which is never behind its
/// replies, shows an earlier one: a datagram of another writer named a revision
/// that does not exist, for which each claim would fail.
void forget_false_revision(shard_context& ctx, store_replied const& reply)
{
    auto& ownership = ctx.shard.ownership;
    for (auto const& item : reply.items)
    {
        if (item.key == shard_key(ctx, record_kind::owner)
            && ownership.revision == ownership.claimed_revision
            && item.revision < ownership.revision)
        {
            ctx.log(log_level::warning, "ownership",
                    "revision " + std::to_string(ownership.revision)
                        + " of the owner record does not exist, the store has "
                        + std::to_string(item.revision));
            ownership.revision = 0;
        }
    }
}

} // namespace

void observe_record(shard_context& ctx, owner_record const& record,
                    std::uint64_t revision)
{
    auto& ownership = ctx.shard.ownership;
    if (revision <= ownership.revision)
    {
        return;
    }
    ownership.record = record;
    ownership.revision = revision;
    ownership.heartbeat_interval = heartbeat_interval;
    silent_owner::heard(ownership, ctx.now);
    if (is_self(ctx, record))
    {
        begin_recovery(ctx);
        return;
    }
    if (holds_shard(ownership.role))
    {
        step_down(ctx);
    }
    else if (record.node == ctx.state.options.node)
    {
        // Written by an earlier process of this daemon, which has ended: this
        // one may claim the shard without waiting or asking.
        ownership.owner_alive_at =
            ctx.now - silent_owner::suspect_after(ownership);
        ownership.queried_at = ctx.now - query_wait;
        ownership.next_claim = ctx.now;
    }
}

void step_down(shard_context& ctx)
{
    become_follower(ctx, "this daemon is no longer the owner");
    ctx.shard.ownership.next_roster.reset();
    ctx.shard.ownership.owner_alive_at = ctx.now;
    calls::log_abandoned(ctx);
    recovery::discard_state(ctx);
}

void observe_item(shard_context& ctx, store_item const& item)
{
    if (item.deleted)
    {
        return;
    }
    if (item.key.kind == record_kind::owner)
    {
        // The term goes on, since it is part of the numbers of runs.
        owner_record const unknown{{}, {}, ctx.shard.ownership.record.term, 0};
        auto const* const record = std::get_if<owner_record>(&item.record);
        observe_record(ctx, record ? *record : unknown, item.revision);
    }
    else if (item.key.kind == record_kind::roster)
    {
        auto const* const record = std::get_if<roster_record>(&item.record);
        roster::observe(ctx, record ? *record : roster_record{}, item.revision);
    }
}

void observe_conflict(shard_context& ctx, store_replied const& reply)
{
    for (auto const& item : reply.items)
    {
        if (item.key.shard == ctx.shard.number)
        {
            observe_item(ctx, item);
        }
    }
}

void claim_replied(shard_context& ctx, store_replied const& reply)
{
    auto& ownership = ctx.shard.ownership;
    if (ownership.role != owner_role::claiming)
    {
        return;
    }
    if (reply.status == store_status::ok)
    {
        owner_record const record{
            ctx.state.options.node, ctx.state.options.address,
            next_term(ownership), ctx.state.options.incarnation};
        observe_record(ctx, record, reply.revision);
        return;
    }
    become_follower(ctx, reply.status == store_status::conflict
                             ? "another daemon claimed first"
                             : "the claim got no answer or was refused");
    if (reply.status == store_status::conflict)
    {
        forget_false_revision(ctx, reply);
    }
    observe_conflict(ctx, reply);
    if (reply.status == store_status::lost)
    {
        // The claim may have been carried out.
        verify(ctx);
    }
}

void serial_replied(shard_context& ctx, store_replied const& reply)
{
    auto const& ownership = ctx.shard.ownership;
    if (silent_owner::serial_read(ctx, reply)
        && ownership.role == owner_role::follower && ownership.queried_at
        && !ctx.state.stopping_since)
    {
        claim(ctx, "the owner is silent");
    }
}

void verify_replied(shard_context& ctx, store_replied const& reply)
{
    auto& ownership = ctx.shard.ownership;
    ownership.verifying = false;
    if (reply.status != store_status::ok)
    {
        return;
    }
    for (auto const& item : reply.items)
    {
        observe_item(ctx, item);
        if (std::holds_alternative<owner_record>(item.record))
        {
            if (ownership.role == owner_role::suspended
                && item.revision == ownership.revision)
            {
                change_role(ctx, owner_role::owner, "confirmed by the store");
            }
        }
    }
}

void suspend_after_standstill(shard_context& ctx)
{
    auto const& gap = ctx.state.last_standstill;
    if (ctx.shard.ownership.role == owner_role::owner && gap
        && gap->ended_at == ctx.now)
    {
        suspend(ctx,
                "no event for "
                    + std::to_string((gap->ended_at - gap->began_at).count())
                    + " ms, the process may have been frozen");
    }
}

void tick(shard_context& ctx)
{
    switch (ctx.shard.ownership.role)
    {
    case owner_role::follower:
        return check_owner(ctx);
    case owner_role::claiming:
        return;
    case owner_role::recovering:
        return heartbeats::send(ctx);
    case owner_role::owner:
        heartbeats::send(ctx);
        check_store_access(ctx);
        if (ctx.shard.ownership.role == owner_role::owner)
        {
            yield_if_stopping(ctx);
        }
        if (ctx.shard.ownership.role == owner_role::owner)
        {
            rebalance(ctx);
        }
        if (ctx.shard.ownership.role == owner_role::owner)
        {
            roster::update(ctx);
        }
        // One daemon does this: the owner of shard 0.
        if (ctx.shard.number == 0)
        {
            roster::remove_dead_members(ctx);
        }
        return;
    case owner_role::suspended:
        heartbeats::send(ctx);
        return verify(ctx);
    case owner_role::yielding:
        return ask_successor(ctx);
    }
}

void received(shard_context& ctx, heartbeat const& message)
{
    auto& ownership = ctx.shard.ownership;
    auto const member = ctx.state.members.find(message.node);
    if (message.revision > ownership.revision)
    {
        observe_record(
            ctx, owner_record{message.node, message.address, message.term, 0},
            message.revision);
    }
    if (message.revision == ownership.revision
        && message.node == ownership.record.node)
    {
        silent_owner::heard(ownership, ctx.now);
        ownership.last_heartbeat_at = ctx.now;
        ownership.heartbeat_interval = message.interval;
        ctx.shard.load = message.load;
    }
    if (member == ctx.state.members.end())
    {
        ctx.state.members[message.node].address = message.address;
    }
    ctx.emit(
        send_message{message.address,
                     heartbeat_reply{ctx.shard.number, ctx.state.options.node,
                                     ownership.revision,
                                     ctx.now - ctx.state.store.last_success,
                                     ctx.state.stopping_since.has_value()}});
}

void received(shard_context& ctx, heartbeat_reply const& message)
{
    auto const found = ctx.state.members.find(message.node);
    if (found == ctx.state.members.end())
    {
        return;
    }
    auto& ownership = ctx.shard.ownership;
    found->second.last_reply_at = ctx.now;
    found->second.stopping = message.stopping;
    found->second.store_heard_at = ctx.now - message.store_age;
    if (!holds_shard(ownership.role))
    {
        return;
    }
    if (message.revision > ownership.revision)
    {
        // The owner record changes only with the owner, so there is a newer
        // owner.
        step_down(ctx);
    }
}

void received(shard_context& ctx, owner_query const& message)
{
    auto const age = holds_shard(ctx.shard.ownership.role)
                         ? time_ms(0)
                         : ctx.now - ctx.shard.ownership.last_heartbeat_at;
    ctx.emit(
        send_message{message.address,
                     owner_query_reply{ctx.shard.number, ctx.state.options.node,
                                       ctx.shard.ownership.revision, age}});
}

void received(shard_context& ctx, owner_query_reply const& message)
{
    auto& ownership = ctx.shard.ownership;
    if (message.revision == ownership.revision
        && message.age < silent_owner::suspect_after(ownership))
    {
        silent_owner::heard(ownership, ctx.now - message.age);
        ownership.next_claim = ctx.now;
    }
}

void received(shard_context& ctx, yield_request const& message)
{
    if (ctx.shard.ownership.role == owner_role::follower
        && !ctx.state.stopping_since
        && message.revision == ctx.shard.ownership.revision)
    {
        claim(ctx, "asked by owner " + message.node);
    }
}

} // namespace jaydrift::schedule::ownership
