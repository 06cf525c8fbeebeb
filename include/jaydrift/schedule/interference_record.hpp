#ifndef JAYDRIFT_SCHEDULE_INTERFERENCE_RECORD_HPP
#define JAYDRIFT_SCHEDULE_INTERFERENCE_RECORD_HPP

#include <jaydrift/schedule/learned_weight.hpp>

#include <functional>
#include <map>
#include <string>

namespace jaydrift::schedule {

/// Stored form of an `interference_model`, for the next owner: weights by
/// serving image and by image of the neighbour.
struct interference_record
{
    using weights = std::map<std::string, learned_weight, std::less<>>;

    std::map<std::string, weights, std::less<>> by_serving_image;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_INTERFERENCE_RECORD_HPP
