#ifndef JAYDRIFT_SCENARIO_RUNNER_HPP
#define JAYDRIFT_SCENARIO_RUNNER_HPP

#include <jaydrift/scenario/command.hpp>

#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace jaydrift::scenario {

class world;

/// Runs the commands of a scenario on a world.
class runner
{
public:
    runner();
    ~runner();

    /// Runs all commands. Returns what failed: expectations that do not hold
    /// and violated invariants. Throws `script_error` on a mistake.
    std::vector<std::string> run(std::span<command const> commands);

    /// Returns the number of expectations that were checked.
    std::size_t checked() const { return checked_; }

    /// Returns the world of the last run, or null.
    world const* last_world() const { return world_.get(); }

private:
    void execute(command const& line);
    void execute_platform(command const& line);
    void execute_caller(command const& line);
    void execute_operator(command const& line);
    void expect(command const& line);
    void expect_job(command const& line);
    void check(command const& line, bool holds, std::string const& seen);
    std::string process(command const& line, std::size_t index) const;
    world& current(command const& line);

    std::unique_ptr<world> world_;
    std::vector<std::string> failures_;
    std::size_t checked_ = 0;
};

} // namespace jaydrift::scenario

#endif // JAYDRIFT_SCENARIO_RUNNER_HPP
