#ifndef JAYDRIFT_SCHEDULE_EXIT_PROCESS_HPP
#define JAYDRIFT_SCHEDULE_EXIT_PROCESS_HPP

namespace jaydrift::schedule {

/// Effect: ends the process. All open calls have been answered.
struct exit_process
{
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_EXIT_PROCESS_HPP
