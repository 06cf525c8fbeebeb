#ifndef JAYDRIFT_CODEC_TASK_ID_CODEC_HPP
#define JAYDRIFT_CODEC_TASK_ID_CODEC_HPP

#include <jaydrift/codec/json.hpp>

#include <string>
#include <string_view>

namespace jaydrift::schedule {

struct task_id;

} // namespace jaydrift::schedule

namespace jaydrift::codec {

/// Writes a task as an array of the ID of its submission and the indexes of its
/// occurrence, its step and itself.
void write_task_id(json_writer& out, schedule::task_id const& id);

/// @throws codec_error if the value is no such array or out of range.
schedule::task_id read_task_id(json const& value);

/// Returns a field that is the ID of a submission.
///
/// @throws codec_error if the field is absent or anything else.
std::string submission_id_field(json const& object, std::string_view name);

} // namespace jaydrift::codec

#endif // JAYDRIFT_CODEC_TASK_ID_CODEC_HPP
