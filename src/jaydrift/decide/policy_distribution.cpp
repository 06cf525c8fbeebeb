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

/// How often members are compared; a heartbeat brings their version.
constexpr time_ms distribution_interval{500};

/// Time before a version is sent again to a daemon that is still behind.
constexpr time_ms resend_after{1000};
constexpr time_ms watch_retry{1000};

/// The store answers a waiting watch within 10 s, so this covers the wait.
constexpr time_ms watch_timeout{12000};

/// One daemon per region watches the store, so that a version crosses the link
/// between the regions once.
bool watches_for_region(daemon_state const& state, time_ms now)
{
    auto const& self = state.settings.self;
    auto const members = membership::live_members(state, now);
    return std::none_of(members.begin(), members.end(), [&](auto const& m) {
        return m.region == self.region && m.daemon < self.daemon;
    });
}

void read(context& step)
{
    step.state.policy.watch =
        step.ask_store(part::policy, read_request{std::string(policy_prefix)});
}

void watch(context& step)
{
    auto& policy = step.state.policy;
    policy.watch = step.next_correlation(part::policy);
    step.emit(send_store{
        policy.watch, watch_timeout,
        watch_request{std::string(policy_prefix), policy.watched_revision}});
}

void take(context& step, store_entry const& entry)
{
    if (entry.key != policy_key)
    {
        return;
    }
    try
    {
        adopt(step, decode_policy_record(entry.value), entry.revision);
    }
    catch (record_error const& error)
    {
        step.log(log_level::error, "policy",
                 std::string("The stored policy is malformed: ")
                     + error.what());
    }
}

void send(context& step, member_info const& member, bool relay)
{
    auto& policy = step.state.policy;
    policy.sent_at[member.daemon] = step.now;
    step.ask_peer(part::policy, member,
                  policy_update{policy.record.current, relay});
}

bool is_behind(daemon_state const& state, member_info const& member)
{
    auto const* const beat = membership::last_heartbeat(state, member.daemon);
    return beat != nullptr && beat->policy_version < policy::version(state);
}

bool sent_lately(daemon_state const& state, member_info const& member,
                 time_ms now)
{
    auto const sent = state.policy.sent_at.find(member.daemon);
    return sent != state.policy.sent_at.end()
           && now < sent->second + resend_after;
}

/// Sends the version to members that are behind: to every one of the own
/// region, and to one of each other region, which relays it.
void send_to_behind(context& step)
{
    std::set<std::string> relayed;
    auto const& self = step.state.settings.self;
    for (auto const& member : membership::live_members(step.state, step.now))
    {
        if (member.daemon == self.daemon || !is_behind(step.state, member)
            || sent_lately(step.state, member, step.now))
        {
            continue;
        }
        bool const relay = member.region != self.region;
        if (relay && !relayed.insert(member.region).second)
        {
            continue;
        }
        send(step, member, relay);
    }
}

} // namespace

void adopt(context& step, policy_record record, std::uint64_t revision)
{
    auto& policy = step.state.policy;
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
    step.log(log_level::info, "policy",
             "Version " + std::to_string(version) + " applies.");
    step.record("policy_applied", {}, {}, std::to_string(version));
}

void send_to_members(context& step)
{
    std::set<std::string> relayed;
    auto const& self = step.state.settings.self;
    for (auto const& member : membership::live_members(step.state, step.now))
    {
        bool const relay = member.region != self.region;
        if (member.daemon == self.daemon
            || (relay && !relayed.insert(member.region).second))
        {
            continue;
        }
        send(step, member, relay);
    }
}

void send_to_region(context& step)
{
    auto const& self = step.state.settings.self;
    for (auto const& member : membership::live_members(step.state, step.now))
    {
        if (member.daemon != self.daemon && member.region == self.region)
        {
            send(step, member, false);
        }
    }
}

void on_timer(context& step)
{
    auto& policy = step.state.policy;
    if (step.now >= policy.next_distribution)
    {
        policy.next_distribution = step.now + distribution_interval;
        send_to_behind(step);
    }
    if (policy.watch != 0 || step.now < policy.watch_again_at)
    {
        return;
    }
    if (!watches_for_region(step.state, step.now))
    {
        policy.watch_again_at = step.now + watch_retry;
        return;
    }
    policy.watched_revision == 0 ? read(step) : watch(step);
}

void on_store_replied(context& step, store_replied const& event)
{
    auto& policy = step.state.policy;
    if (event.correlation != policy.watch)
    {
        return;
    }
    policy.watch = 0;
    if (event.reply.outcome != store_outcome::ok)
    {
        policy.watched_revision = 0;
        policy.watch_again_at = step.now + watch_retry;
        return;
    }
    for (auto const& entry : event.reply.entries)
    {
        take(step, entry);
    }
    policy.watched_revision =
        std::max(policy.watched_revision, event.reply.revision);
    policy.watch_again_at = step.now;
}

void on_store_failed(context& step, store_failed const& event)
{
    auto& policy = step.state.policy;
    if (event.correlation == policy.watch)
    {
        policy.watch = 0;
        policy.watched_revision = 0;
        policy.watch_again_at = step.now + watch_retry;
    }
}

std::vector<shard_id> missing(daemon_state const& state, std::uint64_t version,
                              time_ms now)
{
    std::set<shard_id> acknowledged;
    auto const take_over = [&](std::span<owned_shard const> shards) {
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
    take_over(ownership::owned(state, now));
    for (auto const& status : membership::status(state, now))
    {
        if (auto const* const beat =
                membership::last_heartbeat(state, status.member.daemon))
        {
            take_over(beat->shards);
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
