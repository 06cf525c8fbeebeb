#ifndef JAYDRIFT_SCHEDULE_WORKER_REPLIES_HPP
#define JAYDRIFT_SCHEDULE_WORKER_REPLIES_HPP

namespace jaydrift::schedule {

struct context;
struct worker_replied;

/// Applies the replies of workers to orders.
namespace worker_replies {

/// Handles the end of an order. A higher fencing token makes this daemon step
/// down as the owner of the shard.
void received(context& ctx, worker_replied const& reply);

} // namespace worker_replies

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_WORKER_REPLIES_HPP
