#ifndef JAYDRIFT_CORE_OPERATOR_REQUEST_HPP
#define JAYDRIFT_CORE_OPERATOR_REQUEST_HPP

#include <jaydrift/core/apply_policy.hpp>
#include <jaydrift/core/job_request.hpp>
#include <jaydrift/core/set_zone.hpp>
#include <jaydrift/core/show_policy.hpp>
#include <jaydrift/core/show_status.hpp>
#include <jaydrift/core/show_timeline.hpp>
#include <jaydrift/core/undo_policy.hpp>

#include <variant>

namespace jaydrift {

/// Any request of an operator.
using operator_request =
    std::variant<apply_policy, undo_policy, set_zone, show_policy, show_status,
                 show_timeline, job_request>;

} // namespace jaydrift

#endif // JAYDRIFT_CORE_OPERATOR_REQUEST_HPP
