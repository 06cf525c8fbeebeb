#ifndef JAYDRIFT_STANDIN_WORKER_CALLS_HPP
#define JAYDRIFT_STANDIN_WORKER_CALLS_HPP

#include <jaydrift/core/worker_request.hpp>
#include <jaydrift/standin/worker_context.hpp>

#include <cstdint>

namespace jaydrift::standin {

/// Handles the calls to a worker and checks the rules by which it refuses them.
namespace worker_calls {

void on_call(worker_context& ctx, std::uint64_t number,
             fence_request const& request);
void on_call(worker_context& ctx, std::uint64_t number,
             renew_request const& request);
void on_call(worker_context& ctx, std::uint64_t number,
             start_request const& request);
void on_call(worker_context& ctx, std::uint64_t number,
             task_action_request const& request);

} // namespace worker_calls

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_WORKER_CALLS_HPP
