#ifndef JAYDRIFT_SOAK_ORACLE_HPP
#define JAYDRIFT_SOAK_ORACLE_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/soak/submission_plan.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jaydrift::soak {

/// After a cancel is answered, tasks of the submission may run or start for
/// this long.
inline constexpr time_ms cancel_limit{3900};

/// Checks the scheduler's guarantees against what callers and workers see.
///
/// The functions named by a participle report one observation each. Except for
/// `planned`, those that take a submission's ID throw std::out_of_range if it
/// was not planned. `task` is the text that names a task to the workers, as
/// `parse_task` reads it; functions that take it throw codec::codec_error if it
/// is malformed.
class oracle
{
public:
    /// A caller is about to submit `plan` under `id`.
    void planned(std::string const& id, submission_plan plan);

    /// A daemon has accepted the submission; repeats change nothing.
    void accepted(std::string const& id, time_ms now);

    /// The submission was refused, and no earlier try can have been carried
    /// out.
    void refused(std::string const& id);

    /// A caller is about to send a cancel.
    void cancel_sent(std::string const& id);

    /// A daemon has confirmed a cancel.
    void cancelled(std::string const& id, time_ms now);

    /// Returns null if nobody has planned this submission.
    submission_plan const* plan(std::string const& id) const;

    /// Returns when the submission was first accepted, if it was.
    std::optional<time_ms> accepted_at(std::string const& id) const;

    /// Sets whether a task of the submission that is done must not start again
    /// even if its end was not acknowledged. That holds while no worker can
    /// lose ends.
    void forbid_restarts(std::string const& id, bool forbidden);

    /// A worker has started a run of a task.
    void started(std::string const& task, std::uint64_t run,
                 std::string const& worker, std::string const& payload,
                 time_ms now);

    /// A run has ended on its worker; `done` if the task succeeded.
    void ended(std::string const& task, std::uint64_t run, bool done);

    /// A daemon has acknowledged the task's end to its worker.
    void acknowledged(std::string const& task, bool done);

    /// A daemon has told a caller the state of a submission. The submission has
    /// ended if it is `completed`, `failed` or `cancelled`.
    void shown(std::string const& id, std::string const& state);

    /// IDs of accepted submissions that have not been seen to end, without the
    /// long-running ones.
    std::vector<std::string> unfinished_submissions() const;

    /// IDs of accepted long-running submissions that have not been seen to end.
    /// They must run until they are cancelled.
    std::vector<std::string> long_running_submissions() const;

    /// IDs of submissions whose cancel was confirmed.
    std::vector<std::string> cancelled_submissions() const;

    /// Number of tasks of a submission that run now.
    ///
    /// @throws std::out_of_range if the submission was not planned.
    std::size_t running_tasks(std::string const& id) const;

    /// Last start of a task of a submission; 0 if none has started.
    ///
    /// @throws std::out_of_range if the submission was not planned.
    time_ms last_start(std::string const& id) const;

    /// Returns the first step of a submission that is not done, if all steps
    /// before it are.
    ///
    /// @throws std::out_of_range if the submission was not planned.
    step_plan const* ready_step(std::string const& id) const;
    std::size_t accepted_count() const;
    std::size_t start_count() const { return starts_; }

    /// Records a violation. A text that was recorded before is ignored.
    void add_violation(std::string const& text);
    std::vector<std::string> const& violations() const { return violations_; }

private:
    struct task_record
    {
        /// Worker by run number.
        std::map<std::uint64_t, std::string> running;
        bool done = false;
        bool acknowledged = false;
    };

    struct submission_record
    {
        submission_plan plan;
        std::optional<time_ms> accepted_at;
        bool refused = false;
        bool ended = false;
        bool started = false;
        bool restarts_forbidden = false;
        time_ms last_start;
        bool cancel_sent = false;
        std::optional<time_ms> cancelled_at;

        /// By the task's text; only tasks that workers have named.
        std::map<std::string, task_record> tasks;
    };

    bool step_done(submission_record const& submission, std::string const& id,
                   std::uint32_t step) const;

    std::map<std::string, submission_record> submissions_;
    std::size_t starts_ = 0;
    std::set<std::string> known_violations_;
    std::vector<std::string> violations_;
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_ORACLE_HPP
