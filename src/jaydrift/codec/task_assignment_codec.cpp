#include <jaydrift/codec/task_assignment_codec.hpp>

#include <jaydrift/codec/codec_error.hpp>
#include <jaydrift/codec/task_id_codec.hpp>
#include <jaydrift/schedule/limits.hpp>
#include <jaydrift/schedule/task_assignment_record.hpp>

#include <cstdint>

namespace jaydrift::codec {

void write_task_assignment(json_writer& out,
                           schedule::task_assignment_record const& record)
{
    put_key(out, "task");
    write_task_id(out, record.task);
    put_field(out, "home", record.home);
    put_field(out, "shard", record.shard);
    put_field(out, "owner_revision",
              static_cast<std::int64_t>(record.owner_revision));
    put_field(out, "owner_term", static_cast<std::int64_t>(record.owner_term));
    put_field(out, "run_base", static_cast<std::int64_t>(record.run_base));
    put_field(out, "waited_ms", record.waited.count());
}

schedule::task_assignment_record read_task_assignment(json const& value)
{
    auto const* const task = array(value, "task");
    if (!task)
    {
        throw codec_error("field 'task' is absent");
    }
    schedule::task_assignment_record record;
    record.task = read_task_id(*task);
    record.home = static_cast<std::uint32_t>(
        integer_between(value, "home", 0, schedule::limits::max_shards - 1));
    record.shard = static_cast<std::uint32_t>(
        integer_between(value, "shard", 0, schedule::limits::max_shards - 1));
    record.owner_revision = static_cast<std::uint64_t>(integer_between(
        value, "owner_revision", 0, schedule::limits::max_number));
    record.owner_term = static_cast<std::uint64_t>(
        integer_between(value, "owner_term", 0, schedule::limits::max_term));
    record.run_base = static_cast<std::uint64_t>(integer_between(
        value, "run_base", 0, schedule::limits::max_continued_number));
    record.waited =
        milliseconds_up_to(value, "waited_ms", schedule::limits::max_time);
    return record;
}

} // namespace jaydrift::codec
