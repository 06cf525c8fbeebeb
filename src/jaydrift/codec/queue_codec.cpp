#include <jaydrift/codec/queue_codec.hpp>

#include <jaydrift/codec/base64.hpp>
#include <jaydrift/codec/codec_error.hpp>
#include <jaydrift/schedule/limits.hpp>
#include <jaydrift/schedule/selected_queue.hpp>

#include <cstdint>

namespace jaydrift::codec {

using namespace schedule;

void write_queue(json_writer& out, queue const& each)
{
    out.StartObject();
    put_field(out, "name", each.name);
    put_field(out, "host", each.host);
    put_field(out, "prefix", each.prefix);
    put_field(out, "service", each.service);
    put_field(out, "priority", each.priority);
    put_field(out, "max_attempts", each.max_attempts);
    put_key(out, "slack_factor");
    out.Double(each.slack_factor);
    put_field(out, "latency_objective_ms", each.latency_objective.count());
    out.EndObject();
}

queue read_queue(json const& value)
{
    queue result;
    result.name = text(value, "name");
    result.host = text(value, "host");
    result.prefix = text(value, "prefix");
    if (result.prefix.empty())
    {
        throw codec_error("field 'prefix' is missing");
    }
    result.service = text(value, "service");
    result.priority = static_cast<std::uint32_t>(
        integer_between(value, "priority", 0, limits::max_count));
    result.max_attempts = static_cast<std::uint32_t>(
        integer_between(value, "max_attempts", 1, limits::max_count));
    result.slack_factor =
        number_between(value, "slack_factor", 0, limits::max_slack_factor);
    result.latency_objective =
        milliseconds_up_to(value, "latency_objective_ms", limits::max_duration);
    return result;
}

std::string encode_selected_queue(selected_queue const& selected)
{
    rapidjson::StringBuffer buffer;
    json_writer out(buffer);
    out.StartObject();
    put_field(out, "config_version",
              static_cast<std::int64_t>(selected.config_version));
    put_key(out, "queue");
    write_queue(out, selected.target);
    out.EndObject();
    return encode_base64(text_of(buffer));
}

selected_queue decode_selected_queue(std::string_view text)
{
    auto const root = parse_object(decode_base64(text));
    auto const* const target = find(root, "queue");
    if (!target)
    {
        throw codec_error("field 'queue' is missing");
    }
    return {static_cast<std::uint64_t>(
                integer_between(root, "config_version", 0, limits::max_number)),
            read_queue(*target)};
}

} // namespace jaydrift::codec
