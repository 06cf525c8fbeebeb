#ifndef JAYDRIFT_SCHEDULE_STORE_RECORD_HPP
#define JAYDRIFT_SCHEDULE_STORE_RECORD_HPP

#include <jaydrift/schedule/assignment_record.hpp>
#include <jaydrift/schedule/cancellation_record.hpp>
#include <jaydrift/schedule/configuration.hpp>
#include <jaydrift/schedule/fleet_record.hpp>
#include <jaydrift/schedule/interference_record.hpp>
#include <jaydrift/schedule/layout_record.hpp>
#include <jaydrift/schedule/member_record.hpp>
#include <jaydrift/schedule/owner_record.hpp>
#include <jaydrift/schedule/progress_record.hpp>
#include <jaydrift/schedule/relocation_record.hpp>
#include <jaydrift/schedule/roster_record.hpp>
#include <jaydrift/schedule/serial_record.hpp>
#include <jaydrift/schedule/submission_record.hpp>
#include <jaydrift/schedule/task_assignment_record.hpp>
#include <jaydrift/schedule/unreadable_record.hpp>
#include <jaydrift/schedule/worker_entry.hpp>
#include <jaydrift/schedule/zone_closure.hpp>

#include <variant>

namespace jaydrift::schedule {

/// Content of a record in the store.
using store_record =
    std::variant<unreadable_record, configuration, zone_closure, worker_entry,
                 layout_record, owner_record, roster_record, member_record,
                 assignment_record, task_assignment_record, serial_record,
                 fleet_record, submission_record, progress_record,
                 relocation_record, cancellation_record, interference_record>;

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_STORE_RECORD_HPP
