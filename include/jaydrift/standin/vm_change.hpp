#ifndef JAYDRIFT_STANDIN_VM_CHANGE_HPP
#define JAYDRIFT_STANDIN_VM_CHANGE_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/core/vm_info.hpp>

namespace jaydrift::standin {

/// Change of a VM that the VM list does not show yet.
struct vm_change
{
    time_ms visible_at;
    vm_info vm;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_VM_CHANGE_HPP
