#ifndef JAYDRIFT_SOAK_DAEMON_PROCESSES_HPP
#define JAYDRIFT_SOAK_DAEMON_PROCESSES_HPP

#include <jaydrift/soak/options.hpp>

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace jaydrift::soak {

/// Addresses of a daemon's process.
struct daemon_addresses
{
    unsigned short callers = 0;
    unsigned short probe = 0;
    unsigned short peers = 0;

    /// Port at which it finds the store.
    unsigned short store = 0;
};

/// The daemons as processes of this machine. Only processes that were started
/// here get signals.
class daemon_processes
{
public:
    daemon_processes(options const& settings,
                     std::vector<daemon_addresses> addresses);
    daemon_processes(daemon_processes const&) = delete;
    daemon_processes& operator=(daemon_processes const&) = delete;

    /// Kills what runs, and waits for it.
    ~daemon_processes();

    /// @throws std::system_error if the process cannot be started.
    void start(std::size_t daemon);
    void signal(std::size_t daemon, int number);

    /// Calls `exited(daemon, clean)` for each process that has ended.
    void reap(std::function<void(std::size_t, bool)> const& exited);

    daemon_addresses const& addresses(std::size_t daemon) const
    {
        return addresses_[daemon];
    }

private:
    std::string write_settings(std::size_t daemon) const;

    options settings_;
    std::vector<daemon_addresses> addresses_;
    std::vector<pid_t> running_;
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_DAEMON_PROCESSES_HPP
