#ifndef JAYDRIFT_DECIDE_WORKERS_HPP
#define JAYDRIFT_DECIDE_WORKERS_HPP

#include <jaydrift/core/resources.hpp>
#include <jaydrift/core/shard_id.hpp>
#include <jaydrift/core/task_spec.hpp>
#include <jaydrift/core/vm_info.hpp>
#include <jaydrift/core/worker_reply.hpp>
#include <jaydrift/decide/event.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jaydrift::decide {

struct context;
struct daemon_state;

/// Keeps what is known about the workers from the VM list and from their own
/// replies: address, place, capacity, use and health.
namespace workers {

void on_timer(context& ctx);
void on_store_replied(context& ctx, store_replied const& event);
void on_store_failed(context& ctx, store_failed const& event);

/// Applies what a reply of a worker, of any kind, says about it.
void on_reply(context& ctx, std::string_view worker, worker_reply const& reply);

/// Returns the VM list's entry of a worker, or null. Any change of the list
/// invalidates it.
vm_info const* find(daemon_state const& state, std::string_view worker);

/// Returns the names of the workers of a shard that are not gone.
std::vector<std::string> of_shard(daemon_state const& state,
                                  shard_id const& shard);

/// Returns the same names as `of_shard` without a copy. Any change of the VM
/// list invalidates them.
std::span<std::string const> names_of_shard(daemon_state const& state,
                                            shard_id const& shard);

/// Tells whether the VM list has named a VM of the shard as gone at or after a
/// time.
bool any_vm_gone_since(daemon_state const& state, shard_id const& shard,
                       time_ms since);

/// Tells whether a worker may be given work: it is live, not leaving, its
/// availability zone is open and it is not quarantined.
bool usable(daemon_state const& state, std::string_view worker, time_ms now);

/// Returns the resources that are left on a worker for a class, within the
/// worker's capacity and the class's share in the policy.
resources available(daemon_state const& state, std::string_view worker,
                    task_class priority);

/// Reserves and releases a task's demand on a worker, from before its start is
/// sent until it is known to have ended. A task that is reserved twice counts
/// once.
void reserve(context& ctx, std::string_view worker, task_spec const& task);
void release(context& ctx, std::string_view worker, std::string_view task);

/// Counts the result of a start for the worker's quarantine. `job` is the job
/// ID: only failures of different jobs lead to quarantine.
void record_batch_result(context& ctx, std::string_view worker,
                         std::string_view job, bool success);

/// Tells whether the circuit breaker lets urgent work through to a worker.
bool urgent_allowed(daemon_state const& state, std::string_view worker,
                    time_ms now);

/// Counts the result of an urgent start for the circuit breaker.
void record_urgent_result(context& ctx, std::string_view worker, bool success);

/// Returns the CPU load of a worker in thousandths of its capacity: what is
/// reserved, or what its tasks used according to the last report, whichever is
/// more.
std::int64_t load(daemon_state const& state, std::string_view worker);

/// Returns the expected run time of a kind on a worker next to the kinds that
/// run there, in thousandths of its run time alone.
std::int64_t expected_slowdown(daemon_state const& state,
                               std::string_view worker, std::string_view kind);

/// Returns when `on_timer` is next due.
time_ms next_timer(daemon_state const& state);

} // namespace workers

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_WORKERS_HPP
