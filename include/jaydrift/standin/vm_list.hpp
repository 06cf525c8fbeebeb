#ifndef JAYDRIFT_STANDIN_VM_LIST_HPP
#define JAYDRIFT_STANDIN_VM_LIST_HPP

#include <jaydrift/core/list_vms_request.hpp>
#include <jaydrift/core/store_reply.hpp>
#include <jaydrift/standin/mark_vm.hpp>
#include <jaydrift/standin/register_vm.hpp>
#include <jaydrift/standin/store_step.hpp>

namespace jaydrift::standin {

/// The platform's lagging list of VMs.
namespace vm_list {

void on_register(store_step& step, register_vm const& event);
void on_mark(store_step& step, mark_vm const& event);

/// Shows the changes whose lag is over.
void show_changes(store_step& step);

/// Returns the entries that changed after a revision of the list.
store_reply run(store_step& step, list_vms_request const& request);

} // namespace vm_list

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_VM_LIST_HPP
