#ifndef JAYDRIFT_SOAK_TASK_NAME_HPP
#define JAYDRIFT_SOAK_TASK_NAME_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace jaydrift::soak {

/// A task's text, taken apart: submission, occurrence (which is left out here),
/// step and index, joined by dots.
struct task_name
{
    std::string submission;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
};

/// Reads the last three parts as numbers; one that is not a number counts as 0.
///
/// @throws codec::codec_error if the text has fewer than three dots.
task_name parse_task(std::string_view text);

} // namespace jaydrift::soak

#endif // JAYDRIFT_SOAK_TASK_NAME_HPP
