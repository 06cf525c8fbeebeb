#ifndef JAYDRIFT_SCHEDULE_INTERFERENCE_HPP
#define JAYDRIFT_SCHEDULE_INTERFERENCE_HPP

#include <string_view>

namespace jaydrift::schedule {

struct interference_model;
struct interference_record;
class neighbour_weights;
struct shard_context;
struct run_state;
struct worker_state;

/// Learns from the workers' reports how much opportunistic tasks of one image
/// slow down serving tasks of another.
namespace interference {

/// Updates the model from a new report of the worker. The load of a serving
/// task changes slowly, so a change of its tail latency between two reports is
/// put down to its neighbours.
void learn(shard_context& ctx, worker_state& worker);

/// Returns what has been learned, to be stored for the next owner.
interference_record to_record(interference_model const& model);

/// Adds what an earlier owner has learned.
void restore(interference_model& model, interference_record const& record);

/// Returns how much the logarithm of a serving task's tail latency grows if
/// neighbours of the given image use the processors of a whole worker.
double weight(interference_model const& model, std::string_view serving,
              std::string_view neighbour);

/// Returns the processors that a run uses, as a share of the worker's.
double used_share(worker_state const& worker, run_state const& run);

/// Computes `worker.serving_images` unless they are valid.
void prepare(interference_model const& model, worker_state& worker);

/// Returns the expected tail latency of the worker's serving tasks, relative to
/// its target, if a task of the neighbour's image uses `share` of the worker's
/// processors as well. Of several serving tasks the worst one counts; 0 if
/// there is none. If the result is above `limit`, it may be too low.
/// @pre `worker.serving_images` are valid and `share` is not negative.
double expected_tail(neighbour_weights const& weights,
                     worker_state const& worker, double share, double limit);

} // namespace interference

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_INTERFERENCE_HPP
