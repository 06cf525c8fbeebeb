#ifndef JAYDRIFT_SOAK_DAEMON_VIEW_HPP
#define JAYDRIFT_SOAK_DAEMON_VIEW_HPP

#include <jaydrift/core/time_ms.hpp>

#include <optional>

namespace jaydrift::soak {

/// What the soak knows about a daemon's process. Reset when the process exits
/// and when it starts.
struct daemon_view
{
    bool running = false;
    /// Stopped by SIGSTOP until a SIGCONT.
    bool paused = false;

    /// Got SIGTERM and may still finish its open calls.
    bool stopping = false;

    /// Got SIGKILL.
    bool killed = false;

    /// A fault has hit this process or its link to the store since its start;
    /// it need not stop in time or answer its open calls.
    bool disturbed = false;

    /// When SIGKILL follows, if SIGTERM has not ended the process.
    std::optional<time_ms> kill_at;

    /// Time of the next start.
    std::optional<time_ms> start_at;
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_DAEMON_VIEW_HPP
