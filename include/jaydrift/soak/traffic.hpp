#ifndef JAYDRIFT_SOAK_TRAFFIC_HPP
#define JAYDRIFT_SOAK_TRAFFIC_HPP

#include <jaydrift/process/event_queue.hpp>
#include <jaydrift/soak/effect.hpp>
#include <jaydrift/soak/event.hpp>
#include <jaydrift/soak/options.hpp>

#include <memory>
#include <string>
#include <vector>

namespace jaydrift::soak {

struct state;

/// The sockets and processes of a run. Effects are carried out on a thread of
/// its own, which turns what arrives into events.
class traffic
{
public:
    /// The references must outlive the object.
    ///
    /// @throws boost::system::system_error if a port cannot be used.
    traffic(options const& settings, process::event_queue<event>& events);
    traffic(traffic const&) = delete;
    traffic& operator=(traffic const&) = delete;

    /// Kills the daemons that it has started, and waits for them.
    ~traffic();

    /// Addresses at which the daemons find the workers.
    std::vector<std::string> worker_addresses() const;

    void execute(effect output);
    void state_changed(state const&) {}

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_TRAFFIC_HPP
