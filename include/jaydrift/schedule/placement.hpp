#ifndef JAYDRIFT_SCHEDULE_PLACEMENT_HPP
#define JAYDRIFT_SCHEDULE_PLACEMENT_HPP

#include <cstdint>
#include <string>

namespace jaydrift::schedule {

/// The worker on which a task runs or may run, and the number of its run there.
struct placement
{
    std::string worker;
    std::uint64_t run = 0;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_PLACEMENT_HPP
