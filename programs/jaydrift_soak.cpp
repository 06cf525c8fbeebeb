#include <jaydrift/core/boot_clock.hpp>
#include <jaydrift/process/control_loop.hpp>
#include <jaydrift/process/settings_reader.hpp>
#include <jaydrift/soak/reduce.hpp>
#include <jaydrift/soak/traffic.hpp>

#include <cstdlib>
#include <exception>
#include <filesystem>
#include <iostream>
#include <span>

namespace {

using namespace jaydrift;

constexpr std::size_t queue_capacity = 4096;

/// The soak's reducer as the control loop runs it.
struct soak_traits
{
    using state = soak::state;
    using event = soak::event;
    using effect = soak::effect;

    static soak::effects reduce(state& s, event const& input, time_ms now)
    {
        return soak::reduce(s, input, now);
    }

    static time_ms next_timer(state const& s) { return soak::next_timer(s); }
    static event timer_event() { return soak::tick_due{}; }
};

/// Carries effects out and keeps the last verdict for the end of the run.
class interpreter
{
public:
    explicit interpreter(soak::traffic& transport) : transport_(transport) {}

    void execute(soak::effect output) { transport_.execute(std::move(output)); }

    void state_changed(soak::state const& s)
    {
        if (violations_.size() != s.checks.violations().size())
        {
            violations_ = s.checks.violations();
            std::cout << "VIOLATION " << violations_.back() << '\n';
        }
        accepted_ = s.checks.accepted_count();
        starts_ = s.checks.start_count();
    }

    int verdict(std::uint64_t seed) const
    {
        std::cout << "seed " << seed << ": " << accepted_ << " accepted, "
                  << starts_ << " starts, " << violations_.size()
                  << " violations\n";
        return violations_.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
    }

private:
    soak::traffic& transport_;
    std::vector<std::string> violations_;
    std::size_t accepted_ = 0;
    std::size_t starts_ = 0;
};

int run(soak::options const& chosen)
{
    std::filesystem::create_directories(chosen.folder);
    process::event_queue<soak::event> events(queue_capacity);
    soak::traffic traffic(chosen, events);
    boot_clock clock;
    interpreter effects(traffic);
    process::control_loop<soak_traits, boot_clock, interpreter> loop(
        soak::initial_state(chosen, traffic.worker_addresses(), clock.now()),
        clock, effects, events);
    loop.run();
    return effects.verdict(chosen.seed);
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        soak::options chosen;
        process::settings_reader reader(
            "jaydrift-soak", JAYDRIFT_VERSION,
            "Runs daemons as processes under random faults and checks what "
            "callers and workers see.");
        reader.number("seed", chosen.seed, std::uint64_t{0},
                      std::uint64_t{1} << 62U, "", "Seed of the run.");
        reader.number("daemons", chosen.daemons, std::size_t{1},
                      std::size_t{100}, "", "Daemons to start.");
        reader.number("workers", chosen.workers, std::size_t{1},
                      std::size_t{400}, "", "Workers to stand in for.");
        reader.number("shards", chosen.shards, std::uint32_t{0},
                      std::uint32_t{16}, "",
                      "Shards; 0 leaves the number to the daemons.");
        reader.duration("length", chosen.length, time_ms(1000), time_ms(600000),
                        "Time during which faults begin.");
        reader.text("program", chosen.program, "Path of jaydrift-scheduler.");
        reader.text("folder", chosen.folder,
                    "Folder for settings files and logs.");
        std::span<char const* const> const arguments(
            argv, static_cast<std::size_t>(argc));
        if (auto const status =
                reader.read(arguments.subspan(1), std::cout, std::cerr))
        {
            return *status;
        }
        return run(chosen);
    }
    catch (std::exception const& fault)
    {
        std::cerr << "jaydrift-soak: " << fault.what() << '\n';
        return EXIT_FAILURE;
    }
}
