#ifndef JAYDRIFT_CODEC_TASK_ASSIGNMENT_CODEC_HPP
#define JAYDRIFT_CODEC_TASK_ASSIGNMENT_CODEC_HPP

#include <jaydrift/codec/json.hpp>

namespace jaydrift::schedule {

struct task_assignment_record;

} // namespace jaydrift::schedule

namespace jaydrift::codec {

/// Writes the fields of a record into the object that is open.
void write_task_assignment(json_writer& out,
                           schedule::task_assignment_record const& record);

/// @throws codec_error if a field is absent or out of range.
schedule::task_assignment_record read_task_assignment(json const& value);

} // namespace jaydrift::codec

#endif // JAYDRIFT_CODEC_TASK_ASSIGNMENT_CODEC_HPP
