#ifndef JAYDRIFT_SCHEDULE_READ_REVISION_HPP
#define JAYDRIFT_SCHEDULE_READ_REVISION_HPP

namespace jaydrift::schedule {

/// Request to the store: reads its present revision. The reply is small and has
/// no items.
struct read_revision
{
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_READ_REVISION_HPP
