#ifndef JAYDRIFT_SOAK_DAEMON_VIEW_HPP
#define JAYDRIFT_SOAK_DAEMON_VIEW_HPP

#include <jaydrift/core/time_ms.hpp>

#include <optional>

namespace jaydrift::soak {

/// A daemon's process as the soak sees it.
struct daemon_view
{
    bool running = false;
    bool paused = false;

    /// Was told to stop and may finish its work.
    bool stopping = false;

    /// Was killed by the soak.
    bool killed = false;

    /// A fault has hit this life of the process or its link to the store.
    bool disturbed = false;

    /// Time of SIGKILL after a request to stop.
    std::optional<time_ms> kill_at;

    /// Time of the next start.
    std::optional<time_ms> start_at;
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_DAEMON_VIEW_HPP
