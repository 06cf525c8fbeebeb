#include <jaydrift/schedule/neighbour_weights.hpp>

#include <jaydrift/schedule/interference.hpp>
#include <jaydrift/schedule/interference_model.hpp>
#include <jaydrift/schedule/serving_image.hpp>

namespace jaydrift::schedule {

neighbour_weights::neighbour_weights(interference_model const& model,
                                     std::string_view neighbour)
    : model_(model), neighbour_(neighbour)
{
    weights_.reserve(model.models.size());
    for (auto const& each : model.models)
    {
        weights_.push_back(each.weight(neighbour));
    }
}

double neighbour_weights::of(serving_image const& serving) const
{
    return serving.model
               ? weights_[*serving.model]
               : interference::weight(model_, serving.image, neighbour_);
}

} // namespace jaydrift::schedule
