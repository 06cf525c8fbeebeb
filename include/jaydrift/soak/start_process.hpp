#ifndef JAYDRIFT_SOAK_START_PROCESS_HPP
#define JAYDRIFT_SOAK_START_PROCESS_HPP

#include <cstddef>

namespace jaydrift::soak {

/// Effect: starts a daemon's process.
struct start_process
{
    std::size_t daemon = 0;
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_START_PROCESS_HPP
