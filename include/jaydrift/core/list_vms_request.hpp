#ifndef JAYDRIFT_CORE_LIST_VMS_REQUEST_HPP
#define JAYDRIFT_CORE_LIST_VMS_REQUEST_HPP

#include <cstdint>

namespace jaydrift {

/// Asks for the VMs whose entries changed after a revision of the list.
struct list_vms_request
{
    std::uint64_t after_revision = 0;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_LIST_VMS_REQUEST_HPP
