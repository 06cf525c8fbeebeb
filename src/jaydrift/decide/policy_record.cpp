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

void write(record_writer& out, resources const& value)
{
    out.number(value.millicores)
        .number(value.memory_mb)
        .number(value.accelerators);
}

void write(record_writer& out, task_class value)
{
    out.number(static_cast<std::uint64_t>(value));
}

void write(record_writer& out, policy_document const& policy)
{
    out.number(policy.version).text(policy.comment);
    out.number(std::uint64_t{policy.zones.size()});
    for (auto const& zone : policy.zones)
    {
        out.text(zone.name).text(zone.region);
        out.number(std::uint64_t{zone.open});
    }
    out.number(std::uint64_t{policy.kinds.size()});
    for (auto const& kind : policy.kinds)
    {
        out.text(kind.kind);
        write(out, kind.priority);
        out.number(std::uint64_t{kind.idempotent});
        write(out, kind.demand);
    }
    out.number(std::uint64_t{policy.shares.size()});
    for (auto const& share : policy.shares)
    {
        write(out, share.priority);
        out.number(std::uint64_t{share.percent});
    }
    out.number(std::uint64_t{policy.quotas.size()});
    for (auto const& quota : policy.quotas)
    {
        out.text(quota.team).number(quota.millicores);
    }
}

std::string read_text(record_reader& in) { return std::string(in.text()); }

resources read_resources(record_reader& in)
{
    resources value;
    value.millicores = in.number();
    value.memory_mb = in.number();
    value.accelerators = in.number();
    return value;
}

task_class read_class(record_reader& in)
{
    auto const value = in.unsigned_number();
    if (value > static_cast<std::uint64_t>(task_class::background))
    {
        throw record_error("policy record: unknown task class");
    }
    return static_cast<task_class>(value);
}

policy_document read_document(record_reader& in)
{
    policy_document policy;
    policy.version = in.unsigned_number();
    policy.comment = read_text(in);
    policy.zones.resize(in.count(max_items));
    for (auto& zone : policy.zones)
    {
        zone.name = read_text(in);
        zone.region = read_text(in);
        zone.open = in.unsigned_number() != 0;
    }
    policy.kinds.resize(in.count(max_items));
    for (auto& kind : policy.kinds)
    {
        kind.kind = read_text(in);
        kind.priority = read_class(in);
        kind.idempotent = in.unsigned_number() != 0;
        kind.demand = read_resources(in);
    }
    policy.shares.resize(in.count(max_items));
    for (auto& share : policy.shares)
    {
        share.priority = read_class(in);
        share.percent = static_cast<std::uint32_t>(in.unsigned_number());
    }
    policy.quotas.resize(in.count(max_items));
    for (auto& quota : policy.quotas)
    {
        quota.team = read_text(in);
        quota.millicores = in.number();
    }
    return policy;
}

} // namespace

std::string encode(policy_record const& record)
{
    record_writer out;
    write(out, record.current);
    out.number(std::uint64_t{record.previous.has_value()});
    if (record.previous)
    {
        write(out, *record.previous);
    }
    out.number(std::uint64_t{record.tokens.size()});
    for (auto const& applied : record.tokens)
    {
        out.text(applied.token).number(applied.version);
    }
    return out.take();
}

policy_record decode_policy_record(std::string_view value)
{
    record_reader in(value);
    policy_record record;
    record.current = read_document(in);
    if (in.unsigned_number() != 0)
    {
        record.previous = read_document(in);
    }
    record.tokens.resize(in.count(max_items));
    for (auto& applied : record.tokens)
    {
        applied.token = read_text(in);
        applied.version = in.unsigned_number();
    }
    return record;
}

} // namespace jaydrift::decide
