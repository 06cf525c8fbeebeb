#include <jaydrift/app/backend_options.hpp>
#include <jaydrift/app/store_options.hpp>
#include <jaydrift/app/worker_options.hpp>
#include <jaydrift/process/settings_reader.hpp>

#include <limits>

namespace jaydrift::app {

using namespace literals;

namespace {

/// Adds the settings that every stand-in has.
template<class Options>
void describe_common_settings(process::settings_reader& settings,
                              Options& options)
{
    settings.listen_address("listen-http", options.listen_http,
                            "Address to listen on for HTTP clients.");
    settings.number("timeline-events", options.timeline_events, 1U, 1000000U,
                    "events",
                    "Maximum number of events that the timeline keeps.");
    settings.level("log-level", options.level,
                   "Lowest level of the lines that are logged.");
}

/// Reads a number into a signed target, which `settings_reader::number` does
/// not support.
process::problem parse_amount(std::string_view text, std::int64_t& target)
{
    std::uint64_t amount = 0;
    auto issue = process::parse_number(text, 0, 1'000'000'000, amount);
    if (!issue)
    {
        target = static_cast<std::int64_t>(amount);
    }
    return issue;
}

void describe_amount(process::settings_reader& settings, std::string_view name,
                     std::int64_t& target, std::string_view unit,
                     std::string_view help)
{
    process::setting amount;
    amount.name = name;
    amount.help = help;
    amount.allowed = "0 to 1000000000 " + std::string(unit);
    amount.default_text = std::to_string(target);
    amount.assign = [&target](std::string_view text) {
        return parse_amount(text, target);
    };
    settings.add(std::move(amount));
}

void describe_vm(process::settings_reader& settings, vm_info& vm)
{
    settings.name("name", vm.worker, "Name of this worker.");
    settings.name("region", vm.region, "Region of the VM.");
    settings.name("zone", vm.zone, "Availability zone of the VM.");
    settings.name("rack", vm.rack, "Rack of the VM.");
    describe_amount(settings, "millicores", vm.capacity.millicores,
                    "millicores", "Processing capacity of the VM.");
    describe_amount(settings, "memory-mb", vm.capacity.memory_mb, "MB",
                    "Memory of the VM.");
    describe_amount(settings, "accelerators", vm.capacity.accelerators,
                    "accelerators", "Number of accelerators of the VM.");
}

} // namespace

void describe_settings(process::settings_reader& settings,
                       store_options& options)
{
    auto& reducer_settings = options.reducer_settings;
    settings.listen_address("listen", options.listen,
                            "Address to listen on for daemons.");
    describe_common_settings(settings, options);
    settings.number("writes-per-second", reducer_settings.writes_per_second, 1U,
                    1000000U, "writes", "Maximum number of writes per second.");
    settings.number(
        "reads-per-second", reducer_settings.reads_per_second, 1U, 1000000U,
        "reads",
        "Maximum number of reads, watches and VM list calls per second.");
    settings.duration("watch-ms", reducer_settings.watch_time, 10_ms, 600000_ms,
                      "Time after which a watch without a change is answered.");
    settings.duration("vm-list-lag-ms", reducer_settings.vm_list_lag, 0_ms,
                      600000_ms, "Time until a change appears in the VM list.");
    settings.toggle("outage-expires-leases", options.outage_expires_leases,
                    "Let leases expire during an outage. Without this flag "
                    "they are suspended and have their full time after it.");
}

void describe_settings(process::settings_reader& settings,
                       worker_options& options)
{
    auto& reducer_settings = options.reducer_settings;
    describe_vm(settings, options.vm);
    settings.listen_address("listen", options.listen,
                            "Address to listen on for daemons.");
    describe_common_settings(settings, options);
    settings.address("backend", options.backend_address,
                     "HTTP address of the VM's backend server.");
    settings.address(
        "vm-list", options.vm_list_address,
        "HTTP address of the jaydrift-store whose VM list this worker joins.",
        process::presence::optional);
    settings.number("slots-per-kind", reducer_settings.slots_per_kind,
                    std::size_t{1}, std::size_t{1024}, "slots",
                    "Maximum number of urgent requests of one kind that run at "
                    "the same time.");
    settings.duration("retention-ms", reducer_settings.retention, 1_ms,
                      3600000_ms, "Time for which ended tasks are remembered.");
    settings.duration("usage-interval-ms", reducer_settings.usage_interval,
                      10_ms, 600000_ms, "Time between usage measurements.");
    settings.duration("usage-lag-ms", options.usage_lag, 0_ms, 600000_ms,
                      "Age at which a usage measurement is reported.");
    settings.duration("executor-timeout-ms", options.executor_timeout, 10_ms,
                      600000_ms,
                      "Longest wait for an answer of the backend server.");
    settings.number(
        "executor-threads", options.executor_threads, 1U, 256U, "threads",
        "Maximum number of calls to the backend server at the same time.");
    settings.number("queue-capacity", options.queue_capacity, 1U, 1000000U,
                    "calls",
                    "Maximum number of calls that wait for the control thread "
                    "or for an answer.");
}

void describe_settings(process::settings_reader& settings,
                       backend_options& options)
{
    auto& reducer_settings = options.reducer_settings;
    settings.name("name", options.name, "Name of this backend server.");
    describe_common_settings(settings, options);
    settings.number("slots", reducer_settings.slots, std::size_t{1},
                    std::size_t{1024}, "slots",
                    "Maximum number of requests executed at the same time.");
    settings.duration(
        "service-time-ms", reducer_settings.service_time, 0_ms, 600000_ms,
        "Time that an execution takes, without the random addition.");
    settings.duration("jitter-ms", reducer_settings.jitter, 0_ms, 600000_ms,
                      "Largest random addition to the service time.");
    settings.number("random-seed", options.random_seed, std::uint64_t{0},
                    std::numeric_limits<std::uint64_t>::max(), "",
                    "Seed of the random number generator.");
    settings.number(
        "http-threads", options.http_threads, 1U, 1024U, "threads",
        "Maximum number of HTTP clients that are served at the same time.");
}

} // namespace jaydrift::app
