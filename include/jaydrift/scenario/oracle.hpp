#ifndef JAYDRIFT_SCENARIO_ORACLE_HPP
#define JAYDRIFT_SCENARIO_ORACLE_HPP

#include <jaydrift/core/request_result.hpp>
#include <jaydrift/core/resources.hpp>
#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/scenario/task_history.hpp>
#include <jaydrift/standin/run_log_entry.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jaydrift::scenario {

/// Checks the invariants against what workers run and what callers, operators
/// and the platform are told, never against the daemons' own records. Times are
/// on the scenario's clock.
class oracle
{
public:
    /// A caller sends a request. Each repeat counts as a further attempt.
    void on_submitted(std::string const& request, std::string const& kind,
                      std::string const& payload);

    /// A caller received an answer. Checks that a completed request was started
    /// and has the right answer, and that one reported as not run was not
    /// started.
    void on_answered(std::string const& request, request_result const& result,
                     time_ms now);

    /// A worker's run log has grown by `entries`. Checks each start.
    void on_runs(std::string const& worker, std::string const& zone,
                 std::span<standin::run_log_entry const> entries, time_ms now);

    /// The worker's VM failed, and all its tasks are lost.
    void on_worker_died(std::string const& worker);

    /// Checks that the running tasks of a worker fit into its capacity.
    void on_resources(std::string const& worker, resources const& held,
                      resources const& capacity, time_ms now);

    /// An operator was told that the zone is closed from this policy version
    /// on.
    void on_zone_closed(std::string const& zone, std::uint64_t version);

    /// The zone is open in this durable policy version.
    void on_zone_open(std::string const& zone, std::uint64_t version);

    /// The platform marked the worker as leaving.
    void on_leaving(std::string const& worker, time_ms now);

    /// The worker's VM was replaced by a new one of the same name.
    void on_worker_replaced(std::string const& worker);

    /// A job was reported as finished.
    void on_job_ended(std::string const& job, time_ms now);

    /// Returns descriptions of the violations, oldest first. Their
    /// number is limited; later ones are dropped.
    std::span<std::string const> violations() const { return violations_; }

    /// Returns the history of a task or request, or null if it is unknown. The
    /// pointer is valid as long as the oracle.
    task_history const* history(std::string_view task) const;

    /// Returns the number of starts on all workers.
    std::uint64_t starts() const { return starts_; }

private:
    void on_started(std::string const& worker, std::string const& zone,
                    standin::run_log_entry const& entry, time_ms now);
    bool is_closed(std::string const& zone) const;
    void add_violation(time_ms now, std::string description);

    /// Histories by the ID of the task or request.
    std::map<std::string, task_history, std::less<>> tasks_;

    /// Latest policy version by zone of which an operator was told that it
    /// closes the zone.
    std::map<std::string, std::uint64_t, std::less<>> closed_versions_;

    /// Latest durable policy version by zone in which the zone is open.
    std::map<std::string, std::uint64_t, std::less<>> open_versions_;

    /// When each leaving worker was marked.
    std::map<std::string, time_ms, std::less<>> leaving_since_;

    /// When each finished job was last reported as finished.
    std::map<std::string, time_ms, std::less<>> job_ends_;
    std::vector<std::string> violations_;
    std::uint64_t starts_ = 0;
};

} // namespace jaydrift::scenario

#endif // JAYDRIFT_SCENARIO_ORACLE_HPP
