#include <jaydrift/scenario/runner.hpp>
#include <jaydrift/scenario/script.hpp>
#include <jaydrift/scenario/script_error.hpp>
#include <jaydrift/scenario/world.hpp>

#include <boost/program_options.hpp>

#include <iostream>
#include <string>
#include <vector>

namespace {

namespace options = boost::program_options;

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

/// Runs one file and prints its result. Returns whether it holds.
bool run_file(std::string const& path, bool with_trace)
{
    jaydrift::scenario::runner executor;
    auto const failures = executor.run(jaydrift::scenario::load_script(path));
    if (with_trace && executor.last_world() != nullptr)
    {
        for (auto const& line : executor.last_world()->trace())
        {
            std::cout << line << '\n';
        }
    }
    for (auto const& failure : failures)
    {
        std::cout << "failed: " << failure << '\n';
    }
    std::cout << path << ": " << executor.checked() << " expectations, "
              << failures.size() << " failures\n";
    return failures.empty();
}

int run(int count, char** arguments)
{
    options::options_description visible(
        "Usage: jaydrift-scenario [options] FILE...\n\n"
        "Runs scenario files over the real reducers on a virtual clock.\n\n"
        "Options");
    visible.add_options()("help", "print this text")("version",
                                                     "print the version")(
        "trace", "print what the daemons logged and recorded");
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
    if (values.count("file") == 0)
    {
        std::cerr << "jaydrift-scenario: name at least one scenario file\n";
        return exit_usage;
    }
    bool holds = true;
    for (auto const& path : values["file"].as<std::vector<std::string>>())
    {
        holds = run_file(path, values.count("trace") != 0) && holds;
    }
    return holds ? 0 : exit_failed;
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
    catch (jaydrift::scenario::script_error const& error)
    {
        std::cerr << "jaydrift-scenario: " << error.what() << '\n';
    }
    return exit_usage;
}
