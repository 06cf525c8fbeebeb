#ifndef JAYDRIFT_CODEC_TASK_ID_CODEC_HPP
#define JAYDRIFT_CODEC_TASK_ID_CODEC_HPP

#include <jaydrift/codec/json.hpp>

namespace jaydrift::schedule {

struct task_id;

} // namespace jaydrift::schedule

namespace jaydrift::codec {

/// Writes a task as an array of the ID of its submission and the indexes of its
/// occurrence, its step and itself.
void write_task_id(json_writer& out, schedule::task_id const& id);

/// @throws codec_error if the value is no such array or out of range.
schedule::task_id read_task_id(json const& value);

} // namespace jaydrift::codec

#endif // JAYDRIFT_CODEC_TASK_ID_CODEC_HPP
