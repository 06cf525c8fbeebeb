#include <jaydrift/core/boot_clock.hpp>
#include <jaydrift/process/control_loop.hpp>
#include <jaydrift/process/log.hpp>
#include <jaydrift/process/metrics.hpp>
#include <jaydrift/process/settings_reader.hpp>
#include <jaydrift/process/signal_watch.hpp>
#include <platform/effect_interpreter.hpp>
#include <platform/platform_error.hpp>
#include <platform/reducer_traits.hpp>
#include <platform/settings.hpp>
#include <platform/traffic_thread.hpp>

#include <cstdlib>
#include <exception>
#include <iostream>
#include <random>
#include <span>
#include <string>

namespace {

using namespace jaydrift;

/// Number of events that may wait for the control thread; the traffic thread
/// answers further calls as unavailable.
constexpr std::size_t queue_capacity = 4096;

/// Settings given as flags or environment variables. All others are in the
/// settings file.
struct launch_options
{
    /// Path of the settings file.
    std::string config;
    /// Lowest level of the lines that are logged.
    log_level level = log_level::info;
    /// Port that serves /metrics; 0 to serve none.
    std::uint16_t metrics_port = 9464;
    /// Whether to exit after the settings file was checked.
    bool check_file = false;
};

void describe_settings(process::settings_reader& reader,
                       launch_options& options)
{
    reader.text("config", options.config,
                "Path of the settings file that the platform writes.");
    reader.level("log-level", options.level,
                 "Lowest level of the lines that are logged.");
    reader.number("metrics-port", options.metrics_port, std::uint16_t{0},
                  std::uint16_t{65535}, "",
                  "Port that serves /metrics; 0 to serve none.");
    reader.toggle("check-file", options.check_file,
                  "Check the flags, the environment variables and the settings "
                  "file, and exit.");
}

/// Returns a random number that distinguishes this process from earlier ones
/// under the same name. It has 52 bits, which every JSON reader reads exactly.
std::uint64_t new_incarnation()
{
    constexpr unsigned exact_bits = 52;
    std::random_device device;
    auto const high = static_cast<std::uint64_t>(device()) << 32U;
    return (high | device()) & ((std::uint64_t{1} << exact_bits) - 1);
}

/// Reads the settings file again and hands the settings to the reducer. If the
/// file is unreadable or invalid, the previous settings stay in force. Runs on
/// the signal thread.
void reload(launch_options const& options,
            process::event_queue<schedule::event>& events)
{
    try
    {
        events.deliver(schedule::settings_changed{
            platform::load_settings(options.config).scheduler});
    }
    catch (platform::platform_error const& error)
    {
        process::log_line(
            log_level::error, "process",
            std::string("the settings file was read again and refused, the "
                        "previous settings stay in force: ")
                + error.what());
    }
}

/// Runs the daemon until SIGTERM or SIGINT has stopped it. Returns the exit
/// status.
int serve(launch_options const& options, platform::settings settings)
{
    process::start_log(options.level, process::log_target::standard_output);
    settings.scheduler.incarnation = new_incarnation();
    process::metrics process_metrics;
    process::event_queue<schedule::event> events(queue_capacity);
    platform::traffic_thread traffic(settings, options.metrics_port, events,
                                     process_metrics);
    process::signal_watch const signals(
        [&events] { events.deliver(schedule::stop_requested{}); },
        [&options, &events] { reload(options, events); });
    process::log_line(log_level::info, "process",
                      "started " + settings.scheduler.node + " version "
                          + JAYDRIFT_VERSION);
    traffic.start();
    boot_clock clock;
    using interpreter = platform::effect_interpreter<platform::traffic_thread>;
    interpreter effect_executor(traffic, process_metrics);
    process::control_loop<platform::reducer_traits, boot_clock, interpreter>
        loop(schedule::initial_state(settings.scheduler, clock.now()), clock,
             effect_executor, events);
    loop.run();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        launch_options options;
        process::settings_reader reader(
            "jaydrift-scheduler", JAYDRIFT_VERSION,
            "Schedules submissions on the platform's workers.");
        describe_settings(reader, options);
        std::span<char const* const> const arguments(
            argv, static_cast<std::size_t>(argc));
        if (auto const status =
                reader.read(arguments.subspan(1), std::cout, std::cerr))
        {
            return *status;
        }
        auto settings = platform::load_settings(options.config);
        if (options.check_file)
        {
            return EXIT_SUCCESS;
        }
        process::block_stop_signals();
        return serve(options, std::move(settings));
    }
    catch (platform::platform_error const& error)
    {
        std::cerr << "jaydrift-scheduler: " << error.what() << '\n';
        return 2;
    }
    catch (std::exception const& error)
    {
        std::cerr << "jaydrift-scheduler: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
