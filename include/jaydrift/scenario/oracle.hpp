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

/// Checks the invariants by what workers run and what callers are told, never
/// by the daemons' own records.
class oracle
{
public:
    /// A caller sends a request; repeats count as further attempts.
    void on_submitted(std::string const& request, std::string const& kind,
                      std::string const& payload);
    void on_answered(std::string const& request, request_result const& result,
                     time_ms now);

    /// A worker's run log has grown.
    void on_runs(std::string const& worker, std::string const& zone,
                 std::span<standin::run_log_entry const> entries, time_ms now);

    /// A worker has lost all tasks because its VM failed.
    void on_worker_died(std::string const& worker);
    void on_resources(std::string const& worker, resources const& held,
                      resources const& capacity, time_ms now);

    /// An operator was told that a close of the zone is in force.
    void on_zone_closed(std::string const& zone, std::uint64_t version);

    /// A durable policy version has the zone open.
    void on_zone_open(std::string const& zone, std::uint64_t version);

    /// The platform marked the worker as leaving.
    void on_leaving(std::string const& worker, time_ms now);

    /// The worker's VM was replaced by a new one of the same name.
    void on_worker_replaced(std::string const& worker);

    /// A job was reported as finished or cancelled.
    void on_job_ended(std::string const& job, time_ms now);

    /// Returns what was violated, oldest first.
    std::span<std::string const> violations() const { return violations_; }

    task_history const* history(std::string_view task) const;
    std::uint64_t starts() const { return starts_; }

private:
    void on_started(std::string const& worker, std::string const& zone,
                    standin::run_log_entry const& entry, time_ms now);
    bool is_closed(std::string const& zone) const;
    void violate(time_ms now, std::string text);

    std::map<std::string, task_history, std::less<>> tasks_;

    /// Latest version that was accepted with the zone closed, and latest
    /// durable version with the zone open.
    std::map<std::string, std::uint64_t, std::less<>> closed_;
    std::map<std::string, std::uint64_t, std::less<>> open_;
    std::map<std::string, time_ms, std::less<>> leaving_;
    std::map<std::string, time_ms, std::less<>> ended_jobs_;
    std::vector<std::string> violations_;
    std::uint64_t starts_ = 0;
};

} // namespace jaydrift::scenario

#endif // JAYDRIFT_SCENARIO_ORACLE_HPP
