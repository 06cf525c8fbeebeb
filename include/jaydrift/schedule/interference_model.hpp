#ifndef JAYDRIFT_SCHEDULE_INTERFERENCE_MODEL_HPP
#define JAYDRIFT_SCHEDULE_INTERFERENCE_MODEL_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/schedule/linear_model.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace jaydrift::schedule {

/// One model for each image of serving tasks. Its inputs are the shares of a
/// worker that opportunistic tasks of each image use, its output is the growth
/// of the logarithm of the tail latency.
struct interference_model
{
    std::vector<linear_model> models;

    /// Indexes into `models` by serving image; they never change.
    std::map<std::string, std::size_t, std::less<>> indexes;

    /// Last time at which old samples were made to count less.
    time_ms decayed_at;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_INTERFERENCE_MODEL_HPP
