#ifndef JAYDRIFT_APP_STANDIN_CONTROLS_HPP
#define JAYDRIFT_APP_STANDIN_CONTROLS_HPP

#include <jaydrift/standin/backend_event.hpp>
#include <jaydrift/standin/store_event.hpp>
#include <jaydrift/standin/worker_event.hpp>

#include <string>
#include <string_view>

namespace jaydrift {
struct vm_info;
} // namespace jaydrift

namespace jaydrift::app {

class control_parameters;

/// Each function returns the event of a fault control by its name.
///
/// @throws std::invalid_argument if there is no such control or a parameter is
/// wrong.

/// `outage`, `slow`, `lose`, `register`, `live`, `leaving`, `gone`.
standin::store_event store_control(std::string_view name,
                                   control_parameters const& parameters);

/// `fail`, `leave`, `noise`, `usage-lag`, `run-time`, `usage`.
standin::worker_event worker_control(std::string_view name,
                                     control_parameters const& parameters);

/// `slow`, `fail`, `drain`.
standin::backend_event backend_control(std::string_view name,
                                       control_parameters const& parameters);

/// Prints the query with which a worker registers in the VM list.
std::string print_registration(vm_info const& vm);

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_STANDIN_CONTROLS_HPP
