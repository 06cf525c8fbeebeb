#ifndef JAYDRIFT_SCHEDULE_LEARNED_WEIGHT_HPP
#define JAYDRIFT_SCHEDULE_LEARNED_WEIGHT_HPP

namespace jaydrift::schedule {

/// A weight of a linear model and the evidence for it: the sum of the squared
/// inputs that it was computed from.
struct learned_weight
{
    double weight = 0.0;
    double evidence = 0.0;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_LEARNED_WEIGHT_HPP
