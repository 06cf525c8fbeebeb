#ifndef JAYDRIFT_SCENARIO_RUNNER_HPP
#define JAYDRIFT_SCENARIO_RUNNER_HPP

#include <jaydrift/scenario/command.hpp>

#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace jaydrift::scenario {

class simulation;

/// Runs the commands of a scenario file on a simulated deployment.
class runner
{
public:
    runner();
    ~runner();

    /// Runs all commands in a new simulation. Returns the failures:
    /// expectations that do not hold and violated invariants. Throws
    /// `scenario_file_error` for a command that is not valid.
    std::vector<std::string> run(std::span<command const> commands);

    /// Returns how many expectations the last run checked.
    std::size_t checked() const { return checked_; }

    /// Returns the simulation of the last run, or null if there is none. The
    /// runner owns it; the next run destroys it.
    simulation const* last_simulation() const { return simulation_.get(); }

private:
    void execute(command const& cmd);

    /// Executes a command that sets a fault of the store or the network, or
    /// passes it on to `execute_caller`.
    void execute_platform(command const& cmd);

    /// Executes a command of a caller, or passes it on to `execute_operator`.
    void execute_caller(command const& cmd);

    /// Executes a command of an operator. Throws `scenario_file_error` for an
    /// unknown verb.
    void execute_operator(command const& cmd);
    void expect(command const& cmd);
    void expect_job(command const& cmd);

    /// Counts an expectation, and records `failure` if it does not hold.
    void check(command const& cmd, bool holds, std::string const& failure);

    /// Returns the daemon or worker that an argument names: a process name, or
    /// `@owner:REGION/NUMBER` for the daemon that serves this shard. Throws
    /// `scenario_file_error` if there is none.
    std::string process_name(command const& cmd, std::size_t index) const;

    /// Returns the simulation. Throws `scenario_file_error` if no command has
    /// created it.
    simulation& require_simulation(command const& cmd);

    std::unique_ptr<simulation> simulation_;
    std::vector<std::string> failures_;
    std::size_t checked_ = 0;
};

} // namespace jaydrift::scenario

#endif // JAYDRIFT_SCENARIO_RUNNER_HPP
