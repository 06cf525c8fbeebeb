#ifndef JAYDRIFT_SCHEDULE_LEARNED_WEIGHT_HPP
#define JAYDRIFT_SCHEDULE_LEARNED_WEIGHT_HPP

namespace jaydrift::schedule {

/// A weight of a linear model with the evidence for it, in squares of the
/// input.
struct learned_weight
{
    double weight = 0.0;
    double evidence = 0.0;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_LEARNED_WEIGHT_HPP
