#include <jaydrift/codec/task_id_codec.hpp>

#include <jaydrift/codec/codec_error.hpp>
#include <jaydrift/core/printable.hpp>
#include <jaydrift/schedule/limits.hpp>
#include <jaydrift/schedule/submission_id.hpp>
#include <jaydrift/schedule/task_id.hpp>

#include <cstdint>

namespace jaydrift::codec {

namespace {

std::uint32_t read_index(json const& value)
{
    return static_cast<std::uint32_t>(
        as_integer_between(value, 0, schedule::limits::max_count));
}

} // namespace

void write_task_id(json_writer& out, schedule::task_id const& id)
{
    out.StartArray();
    put(out, id.submission);
    out.Uint(id.occurrence);
    out.Uint(id.step);
    out.Uint(id.index);
    out.EndArray();
}

schedule::task_id read_task_id(json const& value)
{
    auto const fields = as_array(value);
    if (fields.Size() != 4)
    {
        throw codec_error("a task has not four fields");
    }
    schedule::task_id result{as_text(fields[0]), read_index(fields[1]),
                             read_index(fields[2]), read_index(fields[3])};
    if (!schedule::is_submission_id(result.submission))
    {
        throw codec_error("a task has not the ID of a submission");
    }
    return result;
}

std::string submission_id_field(json const& object, std::string_view name)
{
    auto result = text(object, name);
    if (!schedule::is_submission_id(result))
    {
        throw codec_error("field '" + std::string(name)
                          + "' is not the ID of a submission: '"
                          + printable(result) + "'");
    }
    return result;
}

} // namespace jaydrift::codec
