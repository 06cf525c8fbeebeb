#ifndef JAYDRIFT_SCHEDULE_NEIGHBOUR_WEIGHTS_HPP
#define JAYDRIFT_SCHEDULE_NEIGHBOUR_WEIGHTS_HPP

#include <string_view>
#include <vector>

namespace jaydrift::schedule {

struct interference_model;
struct serving_image;

/// Weights of one neighbour's image in the models of all serving images. Looks
/// them up by name once, for requests that ask about many workers. Refers to
/// the model and is valid until that learns.
class neighbour_weights
{
public:
    neighbour_weights(interference_model const& model,
                      std::string_view neighbour);

    /// Returns the same as `interference::weight`.
    double of(serving_image const& serving) const;

private:
    interference_model const& model_;
    std::string_view neighbour_;

    /// By index of the serving image's model.
    std::vector<double> weights_;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_NEIGHBOUR_WEIGHTS_HPP
