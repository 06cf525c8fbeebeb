#ifndef JAYDRIFT_CORE_VM_INFO_HPP
#define JAYDRIFT_CORE_VM_INFO_HPP

#include <jaydrift/core/resources.hpp>
#include <jaydrift/core/vm_state.hpp>

#include <string>

namespace jaydrift {

/// Entry of the platform's lagging list of VMs.
struct vm_info
{
    std::string worker;

    /// Address of the worker's RPC service, `ip:port`.
    std::string address;
    std::string region;
    std::string zone;
    std::string rack;
    resources capacity;
    vm_state state = vm_state::live;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_VM_INFO_HPP
