#ifndef JAYDRIFT_SCHEDULE_SERVING_IMAGE_HPP
#define JAYDRIFT_SCHEDULE_SERVING_IMAGE_HPP

#include <cstddef>
#include <optional>
#include <string>

namespace jaydrift::schedule {

/// Tail latency of the serving tasks of one image on a worker.
struct serving_image
{
    std::string image;

    /// Largest tail latency relative to its target, as expected with the
    /// neighbours that started since the last report.
    double relative_tail = 0.0;

    /// Index of its model, unless there was none when the tail was computed.
    std::optional<std::size_t> model;
};

} // namespace jaydrift::schedule

#endif // JAYDRIFT_SCHEDULE_SERVING_IMAGE_HPP
