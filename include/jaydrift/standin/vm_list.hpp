#ifndef JAYDRIFT_STANDIN_VM_LIST_HPP
#define JAYDRIFT_STANDIN_VM_LIST_HPP

#include <jaydrift/core/list_vms_request.hpp>
#include <jaydrift/core/store_reply.hpp>
#include <jaydrift/standin/mark_vm.hpp>
#include <jaydrift/standin/register_vm.hpp>
#include <jaydrift/standin/store_context.hpp>

namespace jaydrift::standin {

/// The platform's VM list, which shows changes with a lag.
namespace vm_list {

void on_register(store_context& ctx, register_vm const& event);
void on_mark(store_context& ctx, mark_vm const& event);

/// Moves the changes whose lag has passed into the list.
void publish_changes(store_context& ctx);

/// Replies with the entries that changed after a revision of the list.
store_reply reply_to(store_context& ctx, list_vms_request const& request);

} // namespace vm_list

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_VM_LIST_HPP
