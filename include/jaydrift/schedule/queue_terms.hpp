#ifndef JAYDRIFT_SCHEDULE_QUEUE_TERMS_HPP
#define JAYDRIFT_SCHEDULE_QUEUE_TERMS_HPP

namespace jaydrift::schedule {

struct shard_context;
struct selected_queue;
struct submission;
struct submission_record;
struct submission_terms;

/// The terms that submissions get from their queues.
namespace queue_terms {

/// Returns the terms of new work in a queue.
submission_terms of(selected_queue const& selected, submission const& work);

/// Returns the terms of a stored submission: those of its record with the
/// figures of its queue, if these are as new. A record without terms gets them
/// from the queue; if that is gone, they have no service.
submission_terms of(shard_context& ctx, submission_record const& record);

/// Applies the configuration of the queues to the active submissions, and plans
/// to store their new terms. Those whose queue was removed keep their terms,
/// and so do those that were accepted by a newer configuration.
void configuration_changed(shard_context& ctx);

/// Plans to store the terms of active submissions whose stored records have
/// others, or none.
void store_new(shard_context& ctx);

} // namespace queue_terms

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_QUEUE_TERMS_HPP
