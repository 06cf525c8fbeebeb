#ifndef JAYDRIFT_SOAK_ORACLE_HPP
#define JAYDRIFT_SOAK_ORACLE_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/soak/task_plan.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jaydrift::soak {

/// Tasks of a cancelled submission are gone, and none starts, after this.
inline constexpr time_ms cancel_limit{3900};

/// Checks the promises from what callers and workers see.
class oracle
{
public:
    void planned(std::string const& id, task_plan plan);
    void accepted(std::string const& id, time_ms now);

    /// No attempt to hand it in may have been carried out.
    void refused(std::string const& id);

    /// A cancel was sent, and one was answered.
    void cancel_sent(std::string const& id);
    void cancelled(std::string const& id, time_ms now);

    task_plan const* plan(std::string const& id) const;

    /// Returns when it was accepted, if it was.
    std::optional<time_ms> accepted_at(std::string const& id) const;

    void started(std::string const& task, std::uint64_t run,
                 std::string const& worker, std::string const& payload,
                 time_ms now);
    void ended(std::string const& task, std::uint64_t run, bool done);

    /// The worker has been told that the end was taken note of.
    void acknowledged(std::string const& task, bool done);

    /// A caller was shown the state of a submission.
    void shown(std::string const& id, std::string const& state);

    /// Accepted submissions that must still end, and those that must run.
    std::vector<std::string> unfinished() const;
    std::vector<std::string> long_running() const;
    std::vector<std::string> cancelled() const;
    std::size_t running_tasks(std::string const& id) const;
    std::size_t accepted_count() const;
    std::size_t start_count() const { return starts_; }

    /// Notes what was broken, once.
    void violated(std::string const& text);
    std::vector<std::string> const& violations() const { return violations_; }

private:
    struct task_record
    {
        std::map<std::uint64_t, std::string> running;
        bool done = false;
        bool acknowledged = false;
    };

    struct submission_record
    {
        task_plan plan;
        std::optional<time_ms> accepted_at;
        bool refused = false;
        bool ended = false;
        bool started = false;
        bool cancel_sent = false;
        std::optional<time_ms> cancelled_at;
        std::map<std::string, task_record> tasks;
    };

    bool step_done(submission_record const& item, std::string const& id,
                   std::uint32_t step) const;

    std::map<std::string, submission_record> submissions_;
    std::size_t starts_ = 0;
    std::set<std::string> known_violations_;
    std::vector<std::string> violations_;
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_ORACLE_HPP
