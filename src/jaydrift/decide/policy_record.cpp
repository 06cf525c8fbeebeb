#include <jaydrift/decide/policy_record.hpp>

#include <jaydrift/core/record_error.hpp>
#include <jaydrift/core/record_reader.hpp>
#include <jaydrift/core/record_writer.hpp>

#include <cstddef>
#include <utility>

namespace jaydrift::decide {

namespace {

/// Longest list that a stored policy may have.
constexpr std::size_t max_items = 10000;

void encode_fields(record_writer& writer, resources const& value)
{
    writer.number(value.millicores)
        .number(value.memory_mb)
        .number(value.accelerators);
}

void encode_fields(record_writer& writer, task_class value)
{
    writer.number(static_cast<std::uint64_t>(value));
}

void encode_fields(record_writer& writer, policy_document const& policy)
{
    writer.number(policy.version).text(policy.comment);
    writer.number(std::uint64_t{policy.zones.size()});
    for (auto const& zone : policy.zones)
    {
        writer.text(zone.name).text(zone.region);
        writer.number(std::uint64_t{zone.open});
    }
    writer.number(std::uint64_t{policy.kinds.size()});
    for (auto const& kind : policy.kinds)
    {
        writer.text(kind.kind);
        encode_fields(writer, kind.priority);
        writer.number(std::uint64_t{kind.idempotent});
        encode_fields(writer, kind.demand);
    }
    writer.number(std::uint64_t{policy.shares.size()});
    for (auto const& share : policy.shares)
    {
        encode_fields(writer, share.priority);
        writer.number(std::uint64_t{share.percent});
    }
    writer.number(std::uint64_t{policy.quotas.size()});
    for (auto const& quota : policy.quotas)
    {
        writer.text(quota.team).number(quota.millicores);
    }
}

std::string read_text(record_reader& reader)
{
    return std::string(reader.text());
}

resources read_resources(record_reader& reader)
{
    resources value;
    value.millicores = reader.number();
    value.memory_mb = reader.number();
    value.accelerators = reader.number();
    return value;
}

task_class read_class(record_reader& reader)
{
    auto const value = reader.unsigned_number();
    if (value > static_cast<std::uint64_t>(task_class::background))
    {
        throw record_error("policy record: unknown task class");
    }
    return static_cast<task_class>(value);
}

policy_document read_document(record_reader& reader)
{
    policy_document policy;
    policy.version = reader.unsigned_number();
    policy.comment = read_text(reader);
    policy.zones.resize(reader.count(max_items));
    for (auto& zone : policy.zones)
    {
        zone.name = read_text(reader);
        zone.region = read_text(reader);
        zone.open = reader.unsigned_number() != 0;
    }
    policy.kinds.resize(reader.count(max_items));
    for (auto& kind : policy.kinds)
    {
        kind.kind = read_text(reader);
        kind.priority = read_class(reader);
        kind.idempotent = reader.unsigned_number() != 0;
        kind.demand = read_resources(reader);
    }
    policy.shares.resize(reader.count(max_items));
    for (auto& share : policy.shares)
    {
        share.priority = read_class(reader);
        share.percent = static_cast<std::uint32_t>(reader.unsigned_number());
    }
    policy.quotas.resize(reader.count(max_items));
    for (auto& quota : policy.quotas)
    {
        quota.team = read_text(reader);
        quota.millicores = reader.number();
    }
    return policy;
}

} // namespace

std::string encode(policy_record const& record)
{
    record_writer writer;
    encode_fields(writer, record.current);
    writer.number(std::uint64_t{record.previous.has_value()});
    if (record.previous)
    {
        encode_fields(writer, *record.previous);
    }
    writer.number(std::uint64_t{record.tokens.size()});
    for (auto const& applied : record.tokens)
    {
        writer.text(applied.token).number(applied.version);
    }
    return writer.take();
}

policy_record decode_policy_record(std::string_view value)
{
    record_reader reader(value);
    policy_record record;
    record.current = read_document(reader);
    if (reader.unsigned_number() != 0)
    {
        record.previous = read_document(reader);
    }
    record.tokens.resize(reader.count(max_items));
    for (auto& applied : record.tokens)
    {
        applied.token = read_text(reader);
        applied.version = reader.unsigned_number();
    }
    return record;
}

} // namespace jaydrift::decide
