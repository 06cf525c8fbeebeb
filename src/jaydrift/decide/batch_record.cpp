#include <jaydrift/decide/batch_record.hpp>

#include <jaydrift/decide/field_reader.hpp>
#include <jaydrift/decide/field_writer.hpp>

namespace jaydrift::decide {

namespace {

using namespace std::string_view_literals;

/// Writes a record: the name of its type, then its fields.
class record_writer
{
public:
    void operator()(submit_record const& record)
    {
        auto const& spec = record.spec;
        fields_.add("submit"sv).add(spec.id).add(spec.kind).add(spec.team);
        fields_.add(spec.home_region).add(spec.task_count);
        fields_.add(spec.demand.millicores).add(spec.demand.memory_mb);
        fields_.add(spec.demand.accelerators).add(spec.run_time_ms);
        fields_.add(static_cast<std::uint8_t>(record.priority));
    }

    void operator()(finish_record const& record)
    {
        fields_.add("finish"sv).add(record.job).add(record.index);
        fields_.add(record.attempt);
    }

    void operator()(evict_record const& record)
    {
        fields_.add("evict"sv).add(record.job).add(record.index);
        fields_.add(record.attempt).add(record.checkpoint_ms);
    }

    void operator()(fail_record const& record)
    {
        fields_.add("fail"sv).add(record.job).add(record.index);
        fields_.add(record.attempt).add(record.reason);
    }

    void operator()(cancel_record const& record)
    {
        fields_.add("cancel"sv).add(record.job);
    }

    std::string take() { return fields_.take(); }

private:
    field_writer fields_;
};

/// Reads the fields that the records about a task begin with.
template<class Record>
Record read_task(field_reader& reader)
{
    Record record;
    record.job = reader.text();
    record.index = reader.number<std::uint32_t>();
    record.attempt = reader.number<std::uint32_t>();
    return record;
}

submit_record read_submit(field_reader& reader)
{
    submit_record record;
    auto& spec = record.spec;
    spec.id = reader.text();
    spec.kind = reader.text();
    spec.team = reader.text();
    spec.home_region = reader.text();
    spec.task_count = reader.number<std::uint32_t>();
    spec.demand.millicores = reader.number<std::int64_t>();
    spec.demand.memory_mb = reader.number<std::int64_t>();
    spec.demand.accelerators = reader.number<std::int64_t>();
    spec.run_time_ms = reader.number<std::int64_t>();
    record.priority = static_cast<task_class>(reader.number<std::uint8_t>());
    return record;
}

evict_record read_evict(field_reader& reader)
{
    auto record = read_task<evict_record>(reader);
    record.checkpoint_ms = reader.number<std::int64_t>();
    return record;
}

fail_record read_fail(field_reader& reader)
{
    auto record = read_task<fail_record>(reader);
    record.reason = reader.text();
    return record;
}

batch_record read_record(field_reader& reader)
{
    auto const type = reader.text();
    if (type == "submit"sv)
    {
        return read_submit(reader);
    }
    if (type == "finish"sv)
    {
        return read_task<finish_record>(reader);
    }
    if (type == "evict"sv)
    {
        return read_evict(reader);
    }
    if (type == "fail"sv)
    {
        return read_fail(reader);
    }
    if (type == "cancel"sv)
    {
        return cancel_record{std::string(reader.text())};
    }
    throw field_error("unknown record type " + std::string(type));
}

} // namespace

std::string encode(batch_record const& record)
{
    record_writer writer;
    std::visit(writer, record);
    return writer.take();
}

batch_record decode_batch_record(std::string_view text)
{
    field_reader reader(text);
    auto record = read_record(reader);
    if (!reader.empty())
    {
        throw field_error("record has more fields than its type allows");
    }
    return record;
}

} // namespace jaydrift::decide
