#include <jaydrift/scenario/chaos.hpp>
#include <jaydrift/scenario/runner.hpp>
#include <jaydrift/scenario/scenario_file.hpp>
#include <jaydrift/scenario/scenario_file_error.hpp>
#include <jaydrift/scenario/simulation.hpp>

#include <boost/program_options.hpp>

#include <cstdint>
#include <iostream>
#include <string>
#include <vector>

namespace {

namespace options = boost::program_options;

constexpr int exit_failed = 1;
/// A usage error, or a scenario file that cannot be read or has a mistake.
constexpr int exit_usage_error = 2;

/// Runs one scenario file and prints its result. Returns whether all its
/// expectations were met.
///
/// @throws scenario_file_error if the file cannot be read or has a mistake.
bool run_file(std::string const& path, bool print_trace)
{
    jaydrift::scenario::runner scenario_runner;
    auto const failures =
        scenario_runner.run(jaydrift::scenario::load_scenario_file(path));
    if (print_trace && scenario_runner.last_simulation() != nullptr)
    {
        for (auto const& line : scenario_runner.last_simulation()->trace())
        {
            std::cout << line << '\n';
        }
    }
    for (auto const& failure : failures)
    {
        std::cout << "failed: " << failure << '\n';
    }
    std::cout << path << ": " << scenario_runner.checked() << " expectations, "
              << failures.size() << " failures\n";
    return failures.empty();
}

/// Runs `steps` random faults and requests that `seed` determines, and prints
/// the result. Returns whether no check failed.
bool run_seed(std::uint64_t seed, int steps, bool print_trace)
{
    auto const result = jaydrift::scenario::run_chaos(seed, steps);
    if (print_trace)
    {
        for (auto const& line : result.trace)
        {
            std::cout << line << '\n';
        }
    }
    for (auto const& violation : result.failures)
    {
        std::cout << "failed: " << violation << '\n';
    }
    std::cout << "chaos " << seed << ": " << result.starts << " starts, "
              << result.failures.size() << " failures\n";
    return result.failures.empty();
}

/// Runs the files or seeds that the command line names. Returns the exit status
/// of the program.
int run(int count, char** arguments)
{
    options::options_description visible(
        "usage: jaydrift-scenario [flags] FILE...\n"
        "Runs scenario files against the programs' reducers on a virtual "
        "clock.\n\n"
        "Flags");
    visible.add_options()("help", "Print this text and exit.")(
        "version", "Print the version and exit.")(
        "trace", "Print what the daemons logged and recorded.")(
        "chaos", options::value<std::vector<std::uint64_t>>(),
        "Run random faults and requests of this seed instead of files; may be "
        "repeated.")("steps", options::value<int>()->default_value(60),
                     "Number of random faults and requests of --chaos.");
    options::options_description all;
    all.add(visible).add_options()("file",
                                   options::value<std::vector<std::string>>());
    options::positional_options_description files;
    files.add("file", -1);
    options::variables_map values;
    options::store(options::command_line_parser(count, arguments)
                       .options(all)
                       .positional(files)
                       .run(),
                   values);
    if (values.count("help") != 0)
    {
        std::cout << visible;
        return 0;
    }
    if (values.count("version") != 0)
    {
        std::cout << "jaydrift-scenario " JAYDRIFT_VERSION "\n";
        return 0;
    }
    bool passed = true;
    if (values.count("chaos") != 0)
    {
        for (auto const seed : values["chaos"].as<std::vector<std::uint64_t>>())
        {
            passed = run_seed(seed, values["steps"].as<int>(),
                              values.count("trace") != 0)
                     && passed;
        }
        return passed ? 0 : exit_failed;
    }
    if (values.count("file") == 0)
    {
        std::cerr << "jaydrift-scenario: no scenario file and no --chaos was "
                     "given; --help shows the usage\n";
        return exit_usage_error;
    }
    for (auto const& path : values["file"].as<std::vector<std::string>>())
    {
        passed = run_file(path, values.count("trace") != 0) && passed;
    }
    return passed ? 0 : exit_failed;
}

} // namespace

int main(int count, char** arguments)
{
    try
    {
        return run(count, arguments);
    }
    catch (options::error const& error)
    {
        std::cerr << "jaydrift-scenario: " << error.what() << '\n';
    }
    catch (jaydrift::scenario::scenario_file_error const& error)
    {
        std::cerr << "jaydrift-scenario: " << error.what() << '\n';
    }
    return exit_usage_error;
}
