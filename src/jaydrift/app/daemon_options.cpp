#include <jaydrift/app/daemon_options.hpp>

#include <algorithm>
#include <span>

#include <jaydrift/process/settings_reader.hpp>

namespace jaydrift::app {

using namespace literals;

namespace {

void describe_deployment(process::settings_reader& settings,
                         daemon_options& options)
{
    auto& reducer_settings = options.reducer_settings;
    settings.name("name", reducer_settings.self.daemon,
                  "Name of this daemon, unique in the deployment.");
    settings.name("region", reducer_settings.self.region,
                  "Region that this daemon is in.");
    settings.name("zone", reducer_settings.self.zone,
                  "Availability zone that this daemon is in.");
    settings.zones(
        "zones", options.zones,
        "Every region of the deployment with its availability zones.");
    settings.members("peers", reducer_settings.peers,
                     "Daemons to contact from the start, possibly including "
                     "this one; others are found through the store.",
                     process::presence::optional);
    settings.number(
        "shards-per-region", reducer_settings.shards_per_region, 1U, 64U,
        "shards",
        "Number of shards in each region; the same for every daemon.");
    settings.number("voters-per-shard", reducer_settings.voters_per_shard, 1U,
                    15U, "workers",
                    "Number of workers that vote on the owner of a shard.");
    settings.number("random-seed", reducer_settings.random_seed,
                    std::uint64_t{0}, std::numeric_limits<std::uint64_t>::max(),
                    "", "Seed of the random number generator.");
}

void describe_addresses(process::settings_reader& settings,
                        daemon_options& options)
{
    settings.listen_address("listen-http", options.listen_http,
                            "Address to listen on for callers.");
    settings.listen_address("listen-peer", options.listen_peer,
                            "Address to listen on for other daemons.");
    settings.listen_address("listen-operator", options.listen_operator,
                            "Address to listen on for jaydriftctl.");
    settings.address(
        "advertise-peer", options.advertise_peer,
        "Address that other daemons connect to, if it is not --listen-peer.",
        process::presence::optional);
    settings.address("store", options.store_address,
                     "Address of the platform's store.");
}

void describe_durations(process::settings_reader& settings,
                        decide::daemon_settings& reducer_settings)
{
    settings.duration("heartbeat-interval-ms",
                      reducer_settings.heartbeat_interval, 50_ms, 10000_ms,
                      "Time between heartbeats to a peer.");
    settings.duration(
        "suspect-after-ms", reducer_settings.suspect_after, 200_ms, 30000_ms,
        "Time without a heartbeat after which a peer is suspected dead.");
    settings.duration("renew-interval-ms", reducer_settings.renew_interval,
                      50_ms, 10000_ms,
                      "Time between renewals sent to a worker that votes.");
    settings.duration("authority-ms", reducer_settings.authority_duration,
                      200_ms, 30000_ms,
                      "Time that an owner may serve after sending renewals "
                      "that a quorum of the voting workers accepts.");
    settings.duration(
        "idle-renew-interval-ms", reducer_settings.non_voter_renew_interval,
        100_ms, 60000_ms,
        "Time between renewals sent to a worker that does not vote.");
    settings.duration("idle-lease-ms", reducer_settings.worker_lease, 500_ms,
                      180000_ms, "Length of a worker's lease.");
    settings.duration("member-lease-ms", reducer_settings.member_lease, 1000_ms,
                      60000_ms,
                      "Length of the lease of this daemon's key in the store.");
    settings.duration("vm-list-interval-ms", reducer_settings.vm_list_interval,
                      100_ms, 60000_ms, "Time between queries of the VM list.");
    settings.duration("store-timeout-ms", reducer_settings.store_timeout, 50_ms,
                      30000_ms, "Longest wait for an answer of the store.");
    settings.duration("worker-timeout-ms", reducer_settings.worker_timeout,
                      50_ms, 30000_ms, "Longest wait for a worker's answer.");
    settings.duration("peer-timeout-ms", reducer_settings.peer_timeout, 50_ms,
                      30000_ms, "Longest wait for a peer's answer.");
    settings.duration("request-retention-ms",
                      reducer_settings.request_retention, 1000_ms, 3600000_ms,
                      "Time for which an owner remembers request IDs.");
    settings.duration("clock-skew-ms", reducer_settings.clock_skew, 0_ms,
                      60000_ms,
                      "Largest difference between the clocks of a caller and "
                      "of this daemon.");
    settings.duration(
        "drain-ms", reducer_settings.drain, 0_ms, 60000_ms,
        "Time between the start of a planned stop and the hand-over of shards, "
        "in which the load balancer notices the stop.");
}

void describe_limits(process::settings_reader& settings,
                     daemon_options& options)
{
    auto& reducer_settings = options.reducer_settings;
    settings.number("max-waiting-requests",
                    reducer_settings.max_waiting_requests, 1U, 100000U,
                    "requests",
                    "Maximum number of requests that wait for a worker, for "
                    "urgent and service requests each.");
    settings.number("max-waiting-tasks", reducer_settings.max_waiting_tasks, 1U,
                    1000000U, "tasks",
                    "Maximum number of batch tasks that wait in a shard.");
    settings.number(
        "queue-capacity", options.queue_capacity, 1U, 1000000U, "events",
        "Maximum number of events that wait for the control thread.");
    settings.number(
        "max-open-calls", options.max_open_calls, 1U, 1000000U, "calls",
        "Maximum number of calls that wait for an answer, for requests, jobs, "
        "operators and other daemons each.");
    settings.number(
        "http-threads", options.http_threads, 1U, 1024U, "threads",
        "Maximum number of HTTP clients that are served at the same time.");
    settings.number("timeline-events", options.timeline_events, 1U, 1000000U,
                    "events",
                    "Maximum number of events that the timeline keeps.");
    settings.level("log-level", options.level,
                   "Lowest level of the lines that are logged.");
}

/// Adds a rule that refuses a duration below `factor` times another one. Both
/// durations must outlive `settings`.
void add_minimum_rule(process::settings_reader& settings, std::string_view flag,
                      time_ms const& value, std::string_view other_flag,
                      time_ms const& other, std::int64_t factor)
{
    settings.rule(flag,
                  [&value, &other, factor,
                   other_name = std::string(other_flag)]() -> process::problem {
                      auto const minimum = factor * other.count();
                      if (value.count() >= minimum)
                      {
                          return std::nullopt;
                      }
                      return "\"" + std::to_string(value.count())
                             + "\" is too small; allowed: at least "
                             + std::to_string(minimum) + " ms, "
                             + std::to_string(factor) + " times --"
                             + other_name;
                  });
}

/// Tells whether the deployment has this availability zone in this region.
bool is_known_zone(std::span<process::region_zones const> regions,
                   std::string_view region, std::string_view zone)
{
    return std::ranges::any_of(
        regions, [&](process::region_zones const& entry) {
            return entry.region == region
                   && std::ranges::count(entry.zones, zone) == 1;
        });
}

/// Adds the checks of settings against each other.
void add_rules(process::settings_reader& settings, daemon_options& options)
{
    auto& reducer_settings = options.reducer_settings;
    settings.rule("zone", [&options, &reducer_settings]() -> process::problem {
        auto const& self = reducer_settings.self;
        if (is_known_zone(options.zones, self.region, self.zone))
        {
            return std::nullopt;
        }
        return "\"" + self.region + "=" + self.zone
               + "\" is not a region and zone of the deployment; allowed: "
                 "those in --zones";
    });
    settings.rule("peers", [&options, &reducer_settings]() -> process::problem {
        for (auto const& peer : reducer_settings.peers)
        {
            if (!is_known_zone(options.zones, peer.region, peer.zone))
            {
                return peer.daemon + " has the unknown region and zone \""
                       + peer.region + "=" + peer.zone
                       + "\"; allowed: those in --zones";
            }
        }
        return std::nullopt;
    });
    // One lost heartbeat must not make a peer suspected, and one lost renewal
    // must not end an owner's authority or a worker's lease.
    add_minimum_rule(settings, "suspect-after-ms",
                     reducer_settings.suspect_after, "heartbeat-interval-ms",
                     reducer_settings.heartbeat_interval, 2);
    add_minimum_rule(settings, "authority-ms",
                     reducer_settings.authority_duration, "renew-interval-ms",
                     reducer_settings.renew_interval, 2);
    add_minimum_rule(settings, "idle-lease-ms", reducer_settings.worker_lease,
                     "idle-renew-interval-ms",
                     reducer_settings.non_voter_renew_interval, 2);
}

} // namespace

void describe_settings(process::settings_reader& settings,
                       daemon_options& options)
{
    describe_deployment(settings, options);
    describe_addresses(settings, options);
    describe_durations(settings, options.reducer_settings);
    describe_limits(settings, options);
    add_rules(settings, options);
}

void copy_zones(daemon_options& options)
{
    auto& reducer_settings = options.reducer_settings;
    reducer_settings.regions.clear();
    reducer_settings.zones.clear();
    for (auto const& entry : options.zones)
    {
        reducer_settings.regions.push_back(entry.region);
        for (auto const& zone : entry.zones)
        {
            reducer_settings.zones.push_back({zone, entry.region});
        }
    }
}

} // namespace jaydrift::app
