#ifndef JAYDRIFT_STANDIN_REGISTER_VM_HPP
#define JAYDRIFT_STANDIN_REGISTER_VM_HPP

#include <jaydrift/core/vm_info.hpp>

namespace jaydrift::standin {

/// Event: adds a VM to the platform's list or replaces its entry.
struct register_vm
{
    vm_info vm;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_REGISTER_VM_HPP
