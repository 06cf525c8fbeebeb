#ifndef JAYDRIFT_CORE_STORE_REQUEST_HPP
#define JAYDRIFT_CORE_STORE_REQUEST_HPP

#include <jaydrift/core/erase_request.hpp>
#include <jaydrift/core/grant_lease_request.hpp>
#include <jaydrift/core/keep_alive_request.hpp>
#include <jaydrift/core/list_vms_request.hpp>
#include <jaydrift/core/put_request.hpp>
#include <jaydrift/core/read_request.hpp>
#include <jaydrift/core/watch_request.hpp>

#include <variant>

namespace jaydrift {

/// Any request to the platform's store and VM list.
using store_request =
    std::variant<put_request, erase_request, read_request, watch_request,
                 grant_lease_request, keep_alive_request, list_vms_request>;

} // namespace jaydrift

#endif // JAYDRIFT_CORE_STORE_REQUEST_HPP
