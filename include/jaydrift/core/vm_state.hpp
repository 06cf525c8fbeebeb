#ifndef JAYDRIFT_CORE_VM_STATE_HPP
#define JAYDRIFT_CORE_VM_STATE_HPP

#include <cstdint>

namespace jaydrift {

/// State of a VM in the platform's list.
enum class vm_state : std::uint8_t
{
    live,
    /// The VM takes no new work and will be gone soon.
    leaving,
    gone
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_VM_STATE_HPP
