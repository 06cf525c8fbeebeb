#ifndef JAYDRIFT_SCHEDULE_RANDOM_FAULTS_TEST_HPP
#define JAYDRIFT_SCHEDULE_RANDOM_FAULTS_TEST_HPP

namespace jaydrift {

class random_source;

namespace schedule::testing {

class simulated_deployment;

/// Begins or ends a random fault: a daemon is killed, a worker crashes or
/// cannot be reached, the network is cut, the store is out or its replies are
/// lost, orders are carried out late, or the runs of a worker fail.
/// @pre There are three daemons and five workers at least.
void random_fault(simulated_deployment& deployment, random_source& random);

/// Ends all faults but failing runs.
void end_faults(simulated_deployment& deployment);

} // namespace schedule::testing

} // namespace jaydrift

#endif // JAYDRIFT_SCHEDULE_RANDOM_FAULTS_TEST_HPP
