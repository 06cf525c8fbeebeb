#include <jaydrift/codec/relay_codec.hpp>

#include <jaydrift/codec/codec_error.hpp>
#include <jaydrift/codec/json.hpp>
#include <jaydrift/codec/queue_codec.hpp>
#include <jaydrift/schedule/limits.hpp>

#include <charconv>
#include <cstdint>
#include <string>
#include <system_error>
#include <utility>
#include <variant>
#include <vector>

namespace jaydrift::codec {

namespace {

using namespace schedule;

void write(json_writer& out, std::vector<queue> const& queues)
{
    put_key(out, "queues");
    out.StartArray();
    for (auto const& each : queues)
    {
        write_queue(out, each);
    }
    out.EndArray();
}

void write(json_writer& out, std::string_view name,
           std::vector<std::string> const& texts)
{
    put_key(out, name);
    out.StartArray();
    for (auto const& each : texts)
    {
        put(out, each);
    }
    out.EndArray();
}

void write_config(json_writer&, std::monostate) {}

void write_config(json_writer& out, configuration const& config)
{
    put_key(out, "configuration");
    out.StartObject();
    put_field(out, "version", static_cast<std::int64_t>(config.version));
    write(out, config.queues);
    out.EndObject();
}

void write_config(json_writer& out, configuration_change const& change)
{
    put_key(out, "change");
    out.StartObject();
    put_field(out, "version", static_cast<std::int64_t>(change.version));
    write(out, change.queues);
    write(out, "removed", change.removed);
    // Not a number, since readers of JSON may round those beyond 2^53.
    put_field(out, "hash", std::to_string(change.hash));
    out.EndObject();
}

std::uint64_t number_field(json const& object, std::string_view name)
{
    return static_cast<std::uint64_t>(
        integer_between(object, name, 0, limits::max_number));
}

std::vector<queue> read_queues(json const& value)
{
    std::vector<queue> result;
    if (auto const* const queues = array(value, "queues"))
    {
        for (auto const& each : queues->GetArray())
        {
            result.push_back(read_queue(each));
        }
    }
    return result;
}

/// Returns a decimal number of 64 bits.
std::uint64_t read_hash(json const& value)
{
    auto const digits = text(value, "hash");
    std::uint64_t result = 0;
    auto const* const end = digits.data() + digits.size();
    auto const read = std::from_chars(digits.data(), end, result);
    if (read.ec != std::errc() || read.ptr != end)
    {
        throw codec_error("field 'hash' is not a number");
    }
    return result;
}

} // namespace

std::string encode_view(relayed_view const& view)
{
    rapidjson::StringBuffer buffer;
    json_writer out(buffer);
    out.StartObject();
    put_field(out, "revision", static_cast<std::int64_t>(view.revision));
    put_field(out, "age_ms", view.age.count());
    put_field(out, "lag_ms", view.lag.count());
    put_boolean(out, "receiving", view.receiving);
    put_field(out, "config_revision",
              static_cast<std::int64_t>(view.config_revision));
    std::visit([&out](auto const& each) { write_config(out, each); },
               view.config);
    write(out, "closed_zones", view.closed_zones);
    out.EndObject();
    return text_of(buffer);
}

relayed_view decode_view(std::string_view bytes)
{
    auto const root = parse_object(bytes);
    relayed_view result;
    result.revision = number_field(root, "revision");
    result.age = milliseconds_up_to(root, "age_ms", limits::max_time);
    result.lag = milliseconds_up_to(root, "lag_ms", limits::max_time);
    result.receiving = boolean(root, "receiving");
    result.config_revision = number_field(root, "config_revision");
    if (auto const* const value = find(root, "configuration"))
    {
        configuration config;
        config.version = number_field(*value, "version");
        config.queues = read_queues(*value);
        result.config = std::move(config);
    }
    else if (auto const* const value = find(root, "change"))
    {
        configuration_change change;
        change.version = number_field(*value, "version");
        change.queues = read_queues(*value);
        change.removed = texts(*value, "removed");
        change.hash = read_hash(*value);
        result.config = std::move(change);
    }
    result.closed_zones = texts(root, "closed_zones");
    return result;
}

} // namespace jaydrift::codec
