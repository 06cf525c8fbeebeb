#ifndef JAYDRIFT_DECIDE_EXIT_PROCESS_HPP
#define JAYDRIFT_DECIDE_EXIT_PROCESS_HPP

namespace jaydrift::decide {

/// Ends the process: the planned stop is complete.
struct exit_process
{
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_EXIT_PROCESS_HPP
