#ifndef JAYDRIFT_DECIDE_WORKER_LINKS_HPP
#define JAYDRIFT_DECIDE_WORKER_LINKS_HPP

#include <string_view>

namespace jaydrift {

struct worker_reply;

} // namespace jaydrift

namespace jaydrift::decide {

struct context;
struct daemon_state;
struct shard_view;
struct term_state;
struct term_call;
struct worker_link;

/// Fences the workers of a shard and keeps the links of a term up to date. A
/// fence makes the worker refuse every lower epoch and report its tasks.
namespace worker_links {

/// Adds links for the workers that are new in the VM list, and marks those that
/// it no longer names.
void sync_with_vm_list(context& ctx, shard_view& view);

/// Sends every fence that is due.
void send_fences(context& ctx, shard_view& view);

void on_fence_replied(context& ctx, shard_view& view, std::string_view worker,
                      worker_reply const& reply);

void on_fence_failed(context& ctx, shard_view& view, std::string_view worker);

/// Marks a worker as not fenced; it is fenced again once the starts that were
/// sent to it are past their deadline.
void mark_unfenced(term_state& term, worker_link& link);

/// Remembers the reading of the worker's clock in a reply that arrived now, if
/// it is a better bound than the known one or that one is old.
void observe_clock(context& ctx, worker_link& link, worker_reply const& reply);

/// Reports the leases that have expired to the batch module, and removes the
/// links of workers that left the VM list and whose lease has expired.
void report_lapsed_leases(context& ctx, shard_view& view);

/// Tells whether every worker and every voter of the shard is fenced.
bool all_fenced(term_state const& term);

/// Handles a worker's refusal of a fence or renewal. A higher epoch ends the
/// term; the same epoch, held for another daemon, is noted as a conflict; a
/// lower one from a worker that was fenced means that it lost its state.
/// Returns false if the term is over.
bool on_epoch_refused(context& ctx, shard_view& view, std::string_view worker,
                      worker_reply const& reply);

} // namespace worker_links

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_WORKER_LINKS_HPP
