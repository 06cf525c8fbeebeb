#ifndef JAYDRIFT_SOAK_PROCESS_EXITED_HPP
#define JAYDRIFT_SOAK_PROCESS_EXITED_HPP

#include <cstddef>

namespace jaydrift::soak {

/// Event: a daemon's process has ended.
struct process_exited
{
    std::size_t daemon = 0;

    /// Exit status; 0 if a signal ended the process.
    int status = 0;

    /// Signal that ended the process; 0 if it exited.
    int signal = 0;
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_PROCESS_EXITED_HPP
