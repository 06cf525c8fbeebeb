#ifndef JAYDRIFT_SCHEDULE_SIMULATED_INTERFERENCE_TEST_HPP
#define JAYDRIFT_SCHEDULE_SIMULATED_INTERFERENCE_TEST_HPP

namespace jaydrift::schedule::testing {

/// How opportunistic tasks disturb the serving tasks of a worker.
struct simulated_interference
{
    /// Tail latency without neighbours, relative to the target.
    double idle_tail = 0.5;

    /// Growth of the logarithm of the tail latency if neighbours use the
    /// processors of the whole worker.
    double weight = 0.5;
};

} // namespace jaydrift::schedule::testing

#endif // JAYDRIFT_SCHEDULE_SIMULATED_INTERFERENCE_TEST_HPP
