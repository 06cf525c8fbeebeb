#include <jaydrift/decide/policy_distribution.hpp>

#include <jaydrift/core/record_error.hpp>
#include <jaydrift/decide/context.hpp>
#include <jaydrift/decide/membership.hpp>
#include <jaydrift/decide/ownership.hpp>
#include <jaydrift/decide/policy.hpp>
#include <jaydrift/decide/workers.hpp>

#include <algorithm>
#include <limits>
#include <set>
#include <string>
#include <utility>

namespace jaydrift::decide::policy_distribution {

namespace {

constexpr std::string_view policy_prefix = "policy/";
constexpr std::string_view policy_key = "policy/current";

/// How often the members' versions, which heartbeats report, are compared.
constexpr time_ms distribution_interval{500};

/// Time before a version is sent again to a daemon that is still behind.
constexpr time_ms resend_interval{1000};
constexpr time_ms watch_retry_interval{1000};

/// The store replies to a waiting watch within 10 s, so this covers the wait.
constexpr time_ms watch_timeout{12000};

/// One daemon per region watches the store, so that a version crosses the link
/// between the regions once.
bool watches_for_region(daemon_state const& state, time_ms now)
{
    auto const& self = state.settings.self;
    auto const members = membership::live_members(state, now);
    return std::none_of(
        members.begin(), members.end(), [&](auto const& member) {
            return member.region == self.region && member.daemon < self.daemon;
        });
}

void read(context& ctx)
{
    ctx.state.policy.watch = ctx.ask_store(
        reducer_module::policy, read_request{std::string(policy_prefix)});
}

void watch(context& ctx)
{
    auto& policy = ctx.state.policy;
    policy.watch = ctx.next_correlation(reducer_module::policy);
    ctx.emit(send_store{
        policy.watch, watch_timeout,
        watch_request{std::string(policy_prefix), policy.watched_revision}});
}

void adopt_entry(context& ctx, store_entry const& entry)
{
    if (entry.key != policy_key)
    {
        return;
    }
    try
    {
        adopt(ctx, decode_policy_record(entry.value), entry.revision);
    }
    catch (record_error const& error)
    {
        ctx.log(log_level::error, "policy",
                std::string("The stored policy is malformed: ") + error.what());
    }
}

void send(context& ctx, member_info const& member, bool relay)
{
    auto& policy = ctx.state.policy;
    policy.sent_at[member.daemon] = ctx.now;
    ctx.ask_peer(reducer_module::policy, member,
                 policy_update{policy.record.current, relay});
}

bool is_behind(daemon_state const& state, member_info const& member)
{
    auto const* const heartbeat =
        membership::last_heartbeat(state, member.daemon);
    return heartbeat != nullptr
           && heartbeat->policy_version < policy::version(state);
}

bool sent_recently(daemon_state const& state, member_info const& member,
                   time_ms now)
{
    auto const sent = state.policy.sent_at.find(member.daemon);
    return sent != state.policy.sent_at.end()
           && now < sent->second + resend_interval;
}

/// Sends the version to members that are behind: to every one of the own
/// region, and to one of each other region, which relays it.
void send_to_outdated(context& ctx)
{
    std::set<std::string> relayed;
    auto const& self = ctx.state.settings.self;
    for (auto const& member : membership::live_members(ctx.state, ctx.now))
    {
        if (member.daemon == self.daemon || !is_behind(ctx.state, member)
            || sent_recently(ctx.state, member, ctx.now))
        {
            continue;
        }
        bool const relay = member.region != self.region;
        if (relay && !relayed.insert(member.region).second)
        {
            continue;
        }
        send(ctx, member, relay);
    }
}

} // namespace

void adopt(context& ctx, policy_record record, std::uint64_t revision)
{
    auto& policy = ctx.state.policy;
    policy.revision = std::max(policy.revision, revision);
    if (record.current.version < policy.record.current.version)
    {
        return;
    }
    bool const newer = record.current.version > policy.record.current.version;
    policy.record = std::move(record);
    if (!newer)
    {
        return;
    }
    auto const version = policy.record.current.version;
    std::erase_if(policy.early_closes, [&](early_close const& close) {
        return close.version < version;
    });
    policy.sent_at.clear();
    ctx.log(log_level::info, "policy",
            "Version " + std::to_string(version) + " is applied.");
    ctx.add_timeline_event("policy_applied", {}, {}, std::to_string(version));
}

void send_to_members(context& ctx)
{
    std::set<std::string> relayed;
    auto const& self = ctx.state.settings.self;
    for (auto const& member : membership::live_members(ctx.state, ctx.now))
    {
        bool const relay = member.region != self.region;
        if (member.daemon == self.daemon
            || (relay && !relayed.insert(member.region).second))
        {
            continue;
        }
        send(ctx, member, relay);
    }
}

void send_to_region(context& ctx)
{
    auto const& self = ctx.state.settings.self;
    for (auto const& member : membership::live_members(ctx.state, ctx.now))
    {
        if (member.daemon != self.daemon && member.region == self.region)
        {
            send(ctx, member, false);
        }
    }
}

void on_timer(context& ctx)
{
    auto& policy = ctx.state.policy;
    if (ctx.now >= policy.next_distribution)
    {
        policy.next_distribution = ctx.now + distribution_interval;
        send_to_outdated(ctx);
    }
    if (policy.watch != 0 || ctx.now < policy.watch_again_at)
    {
        return;
    }
    if (!watches_for_region(ctx.state, ctx.now))
    {
        policy.watch_again_at = ctx.now + watch_retry_interval;
        return;
    }
    policy.watched_revision == 0 ? read(ctx) : watch(ctx);
}

void on_store_replied(context& ctx, store_replied const& event)
{
    auto& policy = ctx.state.policy;
    if (event.correlation != policy.watch)
    {
        return;
    }
    policy.watch = 0;
    if (event.reply.outcome != store_outcome::ok)
    {
        policy.watched_revision = 0;
        policy.watch_again_at = ctx.now + watch_retry_interval;
        return;
    }
    for (auto const& entry : event.reply.entries)
    {
        adopt_entry(ctx, entry);
    }
    policy.watched_revision =
        std::max(policy.watched_revision, event.reply.revision);
    policy.watch_again_at = ctx.now;
}

void on_store_failed(context& ctx, store_failed const& event)
{
    auto& policy = ctx.state.policy;
    if (event.correlation == policy.watch)
    {
        policy.watch = 0;
        policy.watched_revision = 0;
        policy.watch_again_at = ctx.now + watch_retry_interval;
    }
}

std::vector<shard_id> unacknowledged_shards(daemon_state const& state,
                                            std::uint64_t version, time_ms now)
{
    std::set<shard_id> acknowledged;
    auto const add_acknowledged = [&](std::span<owned_shard const> shards) {
        for (auto const& shard : shards)
        {
            // An acknowledgement of any epoch counts: it is known to a quorum
            // of the shard's workers, from which each successor learns it.
            if (shard.policy_version >= version)
            {
                acknowledged.insert(shard.shard);
            }
        }
    };
    add_acknowledged(ownership::owned_shards(state, now));
    for (auto const& status : membership::status(state, now))
    {
        if (auto const* const heartbeat =
                membership::last_heartbeat(state, status.member.daemon))
        {
            add_acknowledged(heartbeat->shards);
        }
    }
    std::vector<shard_id> result;
    for (auto const& shard : ownership::all_shards(state))
    {
        if (!acknowledged.contains(shard)
            && !workers::of_shard(state, shard).empty())
        {
            result.push_back(shard);
        }
    }
    return result;
}

time_ms next_timer(daemon_state const& state)
{
    auto const& policy = state.policy;
    if (policy.watch != 0)
    {
        return policy.next_distribution;
    }
    return std::min(policy.next_distribution, policy.watch_again_at);
}

} // namespace jaydrift::decide::policy_distribution
