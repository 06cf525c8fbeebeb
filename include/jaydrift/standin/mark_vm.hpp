#ifndef JAYDRIFT_STANDIN_MARK_VM_HPP
#define JAYDRIFT_STANDIN_MARK_VM_HPP

#include <jaydrift/core/vm_state.hpp>

#include <string>

namespace jaydrift::standin {

/// Event: changes the state of a VM in the platform's list. Unknown VMs are
/// ignored.
struct mark_vm
{
    std::string worker;
    vm_state state = vm_state::leaving;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_MARK_VM_HPP
