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

/// Returns the event for a fault control of the store. The controls are
/// `outage`, `slow` (milliseconds) and `lose` (a count) with a number as
/// `value`; `live`, `leaving` and `gone` with a worker as `value`; and
/// `register` with the fields of `registration_query`.
///
/// @throws std::invalid_argument if there is no such control or a parameter is
/// missing or out of range.
standin::store_event store_control(std::string_view name,
                                   control_parameters const& parameters);

/// Returns the event for a fault control of a worker. The controls are `fail`,
/// `leave`, `usage-lag` (milliseconds), `run-time` and `usage` (thousandths)
/// with a number as `value`, and `noise` with
/// `<kind>,<noisy kind>,<thousandths>`.
///
/// @throws std::invalid_argument as `store_control` does.
standin::worker_event worker_control(std::string_view name,
                                     control_parameters const& parameters);

/// Returns the event for a fault control of a backend server. The controls are
/// `slow` (milliseconds), `fail` and `drain`, with a number as `value`.
///
/// @throws std::invalid_argument as `store_control` does.
standin::backend_event backend_control(std::string_view name,
                                       control_parameters const& parameters);

/// Returns the query of the store's control `register`, with which a worker
/// enters the VM list. Values are not percent-encoded.
std::string registration_query(vm_info const& vm);

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_STANDIN_CONTROLS_HPP
