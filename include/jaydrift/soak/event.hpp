#ifndef JAYDRIFT_SOAK_EVENT_HPP
#define JAYDRIFT_SOAK_EVENT_HPP

#include <jaydrift/soak/call_ended.hpp>
#include <jaydrift/soak/process_exited.hpp>
#include <jaydrift/soak/request_arrived.hpp>
#include <jaydrift/soak/tick_due.hpp>

#include <variant>

namespace jaydrift::soak {

/// Event that the reducer of the soak test handles.
using event =
    std::variant<tick_due, request_arrived, call_ended, process_exited>;

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_EVENT_HPP
