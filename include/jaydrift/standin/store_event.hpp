#ifndef JAYDRIFT_STANDIN_STORE_EVENT_HPP
#define JAYDRIFT_STANDIN_STORE_EVENT_HPP

#include <jaydrift/standin/mark_vm.hpp>
#include <jaydrift/standin/register_vm.hpp>
#include <jaydrift/standin/set_store_fault.hpp>
#include <jaydrift/standin/store_called.hpp>
#include <jaydrift/standin/timer_due.hpp>

#include <variant>

namespace jaydrift::standin {

/// Events of the store's reducer.
using store_event = std::variant<timer_due, store_called, set_store_fault,
                                 register_vm, mark_vm>;

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_STORE_EVENT_HPP
