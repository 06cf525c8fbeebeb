#include <jaydrift/core/boot_clock.hpp>
#include <jaydrift/process/control_loop.hpp>
#include <jaydrift/process/settings_reader.hpp>
#include <jaydrift/soak/reduce.hpp>
#include <jaydrift/soak/traffic_thread.hpp>

#include <cstdlib>
#include <exception>
#include <filesystem>
#include <iostream>
#include <span>

namespace {

using namespace jaydrift;

/// Capacity of the event queue. It limits nothing here: all events are queued
/// with `deliver`, which ignores it.
constexpr std::size_t queue_capacity = 4096;

/// Tells the control loop how to call the reducer of the soak test.
struct soak_traits
{
    using state = soak::soak_state;
    using event = soak::event;
    using effect = soak::effect;

    static soak::effect_list reduce(state& current, event const& input,
                                    time_ms now)
    {
        return soak::reduce(current, input, now);
    }

    static time_ms next_timer(state const& current)
    {
        return soak::next_timer(current);
    }
    static event timer_event(time_ms) { return soak::tick_due{}; }
};

/// Carries out effects, prints the last violation of each step that found any,
/// and keeps the result for the end of the run.
class interpreter
{
public:
    explicit interpreter(soak::traffic_thread& traffic) : traffic_(traffic) {}

    void execute(soak::effect output) { traffic_.execute(std::move(output)); }

    void state_changed(soak::soak_state const& current)
    {
        if (violations_.size() != current.oracle.violations().size())
        {
            violations_ = current.oracle.violations();
            std::cout << "VIOLATION " << violations_.back() << '\n';
        }
        accepted_ = current.oracle.accepted_count();
        starts_ = current.oracle.start_count();
    }

    /// Prints the result and returns the exit status of the program.
    int print_result(std::uint64_t seed) const
    {
        std::cout << "seed " << seed << ": " << accepted_ << " accepted, "
                  << starts_ << " starts, " << violations_.size()
                  << " violations\n";
        return violations_.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
    }

private:
    soak::traffic_thread& traffic_;
    std::vector<std::string> violations_;
    std::size_t accepted_ = 0;
    std::size_t starts_ = 0;
};

/// Runs the soak test to its end. Returns the exit status of the program.
int run(soak::options const& options)
{
    std::filesystem::create_directories(options.folder);
    process::event_queue<soak::event> events(queue_capacity);
    soak::traffic_thread traffic(options, events);
    boot_clock clock;
    interpreter effect_interpreter(traffic);
    process::control_loop<soak_traits, boot_clock, interpreter> loop(
        soak::initial_state(options, traffic.worker_addresses(), clock.now()),
        clock, effect_interpreter, events);
    loop.run();
    return effect_interpreter.print_result(options.seed);
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        soak::options options;
        process::settings_reader reader(
            "jaydrift-soak", JAYDRIFT_VERSION,
            "Runs daemons as processes under random faults and checks what "
            "callers and workers see.");
        reader.number("seed", options.seed, std::uint64_t{0},
                      std::uint64_t{1} << 62U, "",
                      "Seed of the random faults and requests.");
        reader.number("daemons", options.daemons, std::size_t{1},
                      soak::max_daemons, "", "Number of daemons to start.");
        reader.number("workers", options.workers, std::size_t{1},
                      std::size_t{400}, "", "Number of workers to simulate.");
        reader.number("shards", options.shards, std::uint32_t{0},
                      std::uint32_t{16}, "",
                      "Number of shards; 0 lets the daemons choose it.");
        reader.number("odd-entries", options.odd_entries, std::size_t{0},
                      std::size_t{1000}, "",
                      "Most odd entries of another writer in the store.");
        reader.number("short-tasks", options.short_tasks, std::size_t{0},
                      std::size_t{20000}, "",
                      "Number of short tasks that end while the store is "
                      "silent.");
        reader.duration("length", options.length, time_ms(1000),
                        time_ms(600000),
                        "Length of the phase in which faults begin.");
        reader.duration("max-lease", options.max_lease, time_ms(1000),
                        time_ms(60000),
                        "Longest lease that a worker takes from an order.");
        reader.toggle("late-orders", options.late_orders,
                      "Replaces the other faults with workers that start again "
                      "and are cut off while orders are carried out late.");
        reader.toggle("late-holds-only", options.late_holds_only,
                      "With --late-orders: starts and stops are not late.");
        reader.text("program", options.program,
                    "Path of the jaydrift-scheduler program.");
        reader.text("folder", options.folder,
                    "Folder for the settings files and logs of the daemons; "
                    "created if it does not exist.");
        std::span<char const* const> const arguments(
            argv, static_cast<std::size_t>(argc));
        if (auto const status =
                reader.read(arguments.subspan(1), std::cout, std::cerr))
        {
            return *status;
        }
        return run(options);
    }
    catch (std::exception const& error)
    {
        std::cerr << "jaydrift-soak: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
