#ifndef JAYDRIFT_SCHEDULE_SET_READY_HPP
#define JAYDRIFT_SCHEDULE_SET_READY_HPP

namespace jaydrift::schedule {

/// Effect: sets what the daemon answers to probes of the load balancer, which
/// sends new connections only to ready daemons.
struct set_ready
{
    bool ready = false;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_SET_READY_HPP
