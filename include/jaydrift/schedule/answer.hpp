#ifndef JAYDRIFT_SCHEDULE_ANSWER_HPP
#define JAYDRIFT_SCHEDULE_ANSWER_HPP

#include <jaydrift/schedule/selected_queue.hpp>
#include <jaydrift/schedule/submission_phase.hpp>

#include <cstdint>
#include <optional>

namespace jaydrift::schedule {

/// Answer to a call of a caller, or to a call that another daemon forwarded.
struct answer
{
    /// How the call ended.
    enum class code : std::uint8_t
    {
        /// The submission was accepted or cancelled by this call or an earlier
        /// one.
        ok,

        /// `phase` holds the state of the submission.
        state,

        /// `pending` holds the number of submissions that have not started.
        count,

        /// No queue has the host and path of the call.
        no_queue,

        /// No submission has this ID, or not any more.
        no_submission,

        /// Nothing was done; the caller may repeat the call after a second. Not
        /// certain for a cancel, which may have been carried out.
        unavailable,

        /// As `unavailable`, from a daemon that does not own the shard.
        not_owner,

        /// The call may or may not have been carried out.
        unknown,

        /// The submission, if it exists, belongs to the shard in `shard`. Only
        /// daemons get this answer.
        moved
    };

    code result = code::unknown;
    submission_phase phase = submission_phase::queued;
    std::uint64_t pending = 0;
    std::uint32_t shard = 0;

    /// With `moved`: the queue that the daemon has selected for the call;
    /// absent if it is of an earlier release.
    std::optional<selected_queue> selected = std::nullopt;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_ANSWER_HPP
