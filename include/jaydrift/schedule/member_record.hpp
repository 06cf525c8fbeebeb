#ifndef JAYDRIFT_SCHEDULE_MEMBER_RECORD_HPP
#define JAYDRIFT_SCHEDULE_MEMBER_RECORD_HPP

#include <string>

namespace jaydrift::schedule {

/// A daemon and the address of its peer port.
struct member_record
{
    std::string node;
    std::string address;

    /// Share of a core that the daemon has; large ones own shards first.
    double cpu_share = 0.0;
    std::string region;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_MEMBER_RECORD_HPP
