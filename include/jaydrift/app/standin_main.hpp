#ifndef JAYDRIFT_APP_STANDIN_MAIN_HPP
#define JAYDRIFT_APP_STANDIN_MAIN_HPP

#include <jaydrift/process/log.hpp>
#include <jaydrift/process/settings_reader.hpp>
#include <jaydrift/process/signal_watch.hpp>

#include <cstddef>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <span>
#include <string_view>

namespace jaydrift::app {

/// The main function of a stand-in: reads its settings and runs it until
/// SIGTERM or SIGINT. Prints errors to standard error and returns the exit
/// status.
template<class Options, class Process>
int standin_main(std::string_view program, std::string_view version,
                 std::string_view summary, int argc, char** argv)
{
    try
    {
        Options options;
        process::settings_reader settings(program, version, summary);
        describe_settings(settings, options);
        std::span<char const* const> const arguments(
            argv, static_cast<std::size_t>(argc));
        if (auto const status =
                settings.read(arguments.subspan(1), std::cout, std::cerr))
        {
            return *status;
        }
        process::block_stop_signals();
        process::start_log(options.level);
        Process process(options);
        process::signal_watch const signals(
            [&process] { process.request_stop(); });
        process.run();
        return EXIT_SUCCESS;
    }
    catch (std::exception const& error)
    {
        std::cerr << program << ": " << error.what() << '\n';
        return EXIT_FAILURE;
    }
}

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_STANDIN_MAIN_HPP
