#include <cstdlib>
#include <exception>
#include <iostream>
#include <span>

#include <jaydrift/app/daemon.hpp>
#include <jaydrift/app/daemon_options.hpp>
#include <jaydrift/process/log.hpp>
#include <jaydrift/process/settings_reader.hpp>
#include <jaydrift/process/signal_watch.hpp>

namespace {

using namespace jaydrift;

/// Runs the daemon until SIGTERM or SIGINT has stopped it. Returns the exit
/// status.
int serve(app::daemon_options const& options)
{
    process::block_stop_signals();
    process::start_log(options.level);
    app::daemon daemon(options);
    process::signal_watch const signals([&daemon] { daemon.request_stop(); });
    daemon.run();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        app::daemon_options options;
        process::settings_reader reader(
            "jaydriftd", JAYDRIFT_VERSION,
            "Schedules latency-critical and batch work on shared VMs.");
        app::describe_settings(reader, options);
        std::span<char const* const> const arguments(
            argv, static_cast<std::size_t>(argc));
        if (auto const status =
                reader.read(arguments.subspan(1), std::cout, std::cerr))
        {
            return *status;
        }
        app::copy_zones(options);
        return serve(options);
    }
    catch (std::exception const& error)
    {
        std::cerr << "jaydriftd: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
