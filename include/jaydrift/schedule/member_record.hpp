#ifndef JAYDRIFT_SCHEDULE_MEMBER_RECORD_HPP
#define JAYDRIFT_SCHEDULE_MEMBER_RECORD_HPP

#include <string>

namespace jaydrift::schedule {

/// Record by which a daemon registers itself in the store.
struct member_record
{
    std::string node;

    /// Address of its peer port.
    std::string address;

    /// Share of a core that the daemon has; daemons with larger shares are
    /// preferred as owners.
    double cpu_share = 0.0;
    std::string region;

    /// The daemon knows of assignments of workers; false if an earlier release
    /// has written the record.
    bool assigns_workers = false;

    /// The same for assignments of tasks.
    bool assigns_tasks = false;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_MEMBER_RECORD_HPP
