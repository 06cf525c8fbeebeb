#ifndef JAYDRIFT_SOAK_TRAFFIC_THREAD_HPP
#define JAYDRIFT_SOAK_TRAFFIC_THREAD_HPP

#include <jaydrift/process/event_queue.hpp>
#include <jaydrift/soak/effect.hpp>
#include <jaydrift/soak/event.hpp>
#include <jaydrift/soak/options.hpp>

#include <memory>
#include <string>
#include <vector>

namespace jaydrift::soak {

struct soak_state;

/// The sockets and processes of a run. A thread of its own carries out the
/// effects, and delivers requests, ended calls and process exits as events.
class traffic_thread
{
public:
    /// `events` must outlive the object.
    ///
    /// @throws boost::system::system_error if a port cannot be used, and
    /// std::runtime_error if no range of ports is free for the daemons.
    traffic_thread(options const& settings,
                   process::event_queue<event>& events);
    traffic_thread(traffic_thread const&) = delete;
    traffic_thread& operator=(traffic_thread const&) = delete;

    /// Kills the daemons that it started and waits for their exit.
    ~traffic_thread();

    /// Addresses of the proxies through which the daemons reach the workers.
    std::vector<std::string> worker_addresses() const;

    /// Hands the effect to the thread; may be called from any thread.
    void execute(effect output);
    void state_changed(soak_state const&) {}

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_TRAFFIC_THREAD_HPP
