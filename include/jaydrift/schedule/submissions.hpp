#ifndef JAYDRIFT_SCHEDULE_SUBMISSIONS_HPP
#define JAYDRIFT_SCHEDULE_SUBMISSIONS_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/task_id.hpp>

#include <cstdint>
#include <string_view>

namespace jaydrift::schedule {

struct shard_context;
struct progress_record;
struct selected_queue;
struct submission;
struct submission_record;
struct submission_state;
struct task_state;

/// Changes the state of submissions and their tasks.
namespace submissions {

/// Returns the submission with this ID that the shard has or runs tasks of;
/// null if there is none.
submission_state* find(shard_context& ctx, std::string_view id);

/// The same, only if the shard has the submission.
submission_state* find_own(shard_context& ctx, std::string_view id);

/// Returns a task of the submission; null if the ID names none.
task_state* find_task(submission_state& submission, task_id const& id);

/// Calls `visit(task_id, task)` for every task of the submission.
template<class Submission, class Visitor>
void for_each_task(Submission& submission, Visitor visit)
{
    for (std::uint32_t occurrence_index = 0;
         occurrence_index < submission.occurrences.size(); ++occurrence_index)
    {
        auto& steps = submission.occurrences[occurrence_index].steps;
        for (std::uint32_t step_index = 0; step_index < steps.size();
             ++step_index)
        {
            for (std::uint32_t task_index = 0;
                 task_index < steps[step_index].tasks.size(); ++task_index)
            {
                visit(task_id{submission.id, occurrence_index, step_index,
                              task_index},
                      steps[step_index].tasks[task_index]);
            }
        }
    }
}

/// Adds a submission that a caller sent to a queue.
submission_state& accept(shard_context& ctx, std::string_view id,
                         selected_queue const& selected,
                         submission const& work);

/// Adds a submission that the store holds.
submission_state& add(shard_context& ctx, submission_record const& record);

/// Adds a submission that another shard has. None of its tasks is here until
/// `take_task`.
submission_state& add_guest(shard_context& ctx, submission_record const& record,
                            std::uint32_t home);

/// A task without a place leaves the shard.
void give_task(submission_state& submission, task_id const& id);

/// A task that was elsewhere comes to the shard, where it has waited since the
/// given time.
void take_task(shard_context& ctx, submission_state& submission,
               task_id const& id, time_ms waiting_since);

/// Applies stored progress to a submission; ignored if it is unknown.
void restore(shard_context& ctx, progress_record const& record);

/// Takes the place of a task away, so that it waits again.
void requeue(shard_context& ctx, submission_state& submission,
             task_id const& id);

/// Notes that a worker has begun a run of a task. It is stored with the next
/// change of the submission, or by `tick` after a while.
void note_start(shard_context const& ctx, submission_state& submission);

/// Counts a task as placed. Does not set its `place`.
void placed(submission_state& submission, task_id const& id);

/// Takes away the place of a task whose start was not ordered. The task has
/// waited all the while.
void withdraw_place(submission_state& submission, task_id const& id);

/// Marks a task as done. This may make later steps ready or complete the
/// submission.
void finish_task(shard_context& ctx, submission_state& submission,
                 task_id const& id);

/// Ends the submission: no more tasks start, and its runs are ordered to stop.
/// Its caller may be told of the end before the workers have stopped them.
void cancel(shard_context& ctx, submission_state& submission);

/// Like `cancel`, for a submission that has failed.
void fail(shard_context& ctx, submission_state& submission);

/// Adds occurrences that are due, plans to store starts, and lists ended
/// submissions for removal once their retention is over.
void tick(shard_context& ctx);

} // namespace submissions

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_SUBMISSIONS_HPP
