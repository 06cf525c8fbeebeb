#ifndef JAYDRIFT_STANDIN_LISTED_VM_HPP
#define JAYDRIFT_STANDIN_LISTED_VM_HPP

#include <jaydrift/core/vm_info.hpp>

#include <cstdint>

namespace jaydrift::standin {

/// Entry of the VM list, with the revision of the list that last changed it.
struct listed_vm
{
    vm_info vm;
    std::uint64_t revision = 0;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_LISTED_VM_HPP
