#ifndef JAYDRIFT_SOAK_SIGNAL_PROCESS_HPP
#define JAYDRIFT_SOAK_SIGNAL_PROCESS_HPP

#include <cstddef>

namespace jaydrift::soak {

/// Effect: sends a signal to a daemon's process.
struct signal_process
{
    std::size_t daemon = 0;
    int signal = 0;
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_SIGNAL_PROCESS_HPP
