#ifndef JAYDRIFT_SOAK_DAEMON_PROCESSES_HPP
#define JAYDRIFT_SOAK_DAEMON_PROCESSES_HPP

#include <jaydrift/soak/options.hpp>

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace jaydrift::soak {

/// Loopback ports of a daemon.
struct daemon_ports
{
    unsigned short callers = 0;

    /// Port of the readiness probe.
    unsigned short probe = 0;
    unsigned short peers = 0;

    /// Port of the proxy through which the daemon reaches the store.
    unsigned short store = 0;
};

/// The daemons' processes. Only processes that this object started get signals.
class daemon_processes
{
public:
    daemon_processes(options const& settings, std::vector<daemon_ports> ports);
    daemon_processes(daemon_processes const&) = delete;
    daemon_processes& operator=(daemon_processes const&) = delete;

    /// Kills the running processes and waits for their exit.
    ~daemon_processes();

    /// Writes the daemon's settings file and starts its process; its output is
    /// appended to its log.
    ///
    /// @throws std::system_error if the process cannot be started.
    void start(std::size_t daemon);

    /// Does nothing if the daemon does not run.
    ///
    /// @throws std::system_error if the signal cannot be sent.
    void signal(std::size_t daemon, int number);

    /// Calls `exited(daemon, status, signal)` for each process that has ended
    /// since the last call, as `process_exited` has them.
    void reap(std::function<void(std::size_t, int, int)> const& exited);

    daemon_ports const& ports(std::size_t daemon) const
    {
        return ports_[daemon];
    }

private:
    /// Writes the daemon's settings file and returns its path.
    std::string write_settings(std::size_t daemon) const;

    options settings_;
    std::vector<daemon_ports> ports_;

    /// Process ID by daemon; 0 while it does not run.
    std::vector<pid_t> running_;
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_DAEMON_PROCESSES_HPP
