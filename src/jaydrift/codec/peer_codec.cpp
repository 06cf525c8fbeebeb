#include <jaydrift/codec/peer_codec.hpp>

#include <jaydrift/codec/codec_error.hpp>
#include <jaydrift/codec/json.hpp>
#include <jaydrift/core/printable.hpp>
#include <jaydrift/schedule/limits.hpp>

#include <algorithm>
#include <cstdint>
#include <variant>

namespace jaydrift::codec {

namespace {

using namespace schedule;

/// Returns the message's type as it is sent; the names are in the order of the
/// variant. A "sighting" is an `owner_query_reply`.
std::string_view type_of(peer_message const& message)
{
    static constexpr std::string_view names[] = {"heartbeat", "reply", "query",
                                                 "sighting", "yield"};
    return names[message.index()];
}

void write_fields(json_writer& out, heartbeat const& message)
{
    put_field(out, "address", message.address);
    put_field(out, "term", static_cast<std::int64_t>(message.term));
    put_field(out, "interval_ms", message.interval.count());
    put_field(out, "firm_load", message.load.firm);
    put_field(out, "opportunistic_load", message.load.opportunistic);
}

void write_fields(json_writer& out, heartbeat_reply const& message)
{
    put_field(out, "store_age_ms", message.store_age.count());
    put_boolean(out, "stopping", message.stopping);
}

void write_fields(json_writer& out, owner_query_reply const& message)
{
    put_field(out, "age_ms", message.age.count());
}

void write_fields(json_writer& out, owner_query const& message)
{
    put_field(out, "address", message.address);
}

void write_fields(json_writer&, yield_request const&) {}

/// Returns a field from 0 to `max_number`.
std::uint64_t number_field(json const& object, std::string_view name)
{
    return static_cast<std::uint64_t>(
        integer_between(object, name, 0, limits::max_number));
}

/// Returns a load within its limits: one of a shard with a tiny capacity may be
/// beyond them.
std::int64_t load_field(json const& object, std::string_view name)
{
    return std::clamp<std::int64_t>(integer(object, name), 0, limits::max_load);
}

heartbeat read_heartbeat(json const& value)
{
    heartbeat result;
    result.address = required_address(value, "address");
    result.term = static_cast<std::uint64_t>(
        integer_between(value, "term", 0, limits::max_term));
    result.interval = time_ms(integer_between(
        value, "interval_ms", 1, limits::max_heartbeat_interval.count()));
    result.load = {load_field(value, "firm_load"),
                   load_field(value, "opportunistic_load")};
    return result;
}

} // namespace

std::string encode_message(peer_message const& message)
{
    rapidjson::StringBuffer buffer;
    json_writer out(buffer);
    out.StartObject();
    put_field(out, "type", type_of(message));
    std::visit(
        [&out](auto const& each) {
            put_field(out, "shard", each.shard);
            put_field(out, "node", each.node);
            put_field(out, "revision",
                      static_cast<std::int64_t>(each.revision));
            write_fields(out, each);
        },
        message);
    out.EndObject();
    return text_of(buffer);
}

peer_message decode_message(std::string_view bytes)
{
    auto const value = parse_object(bytes);
    auto const type = text(value, "type");
    auto const shard = static_cast<std::uint32_t>(
        integer_between(value, "shard", 0, limits::max_shards - 1));
    auto node = required_name(value, "node");
    auto const revision = number_field(value, "revision");
    if (type == "heartbeat")
    {
        auto result = read_heartbeat(value);
        result.shard = shard;
        result.node = std::move(node);
        result.revision = revision;
        return result;
    }
    if (type == "reply")
    {
        return heartbeat_reply{
            shard, std::move(node), revision,
            milliseconds_up_to(value, "store_age_ms", limits::max_time),
            boolean(value, "stopping")};
    }
    if (type == "query")
    {
        return owner_query{shard, std::move(node),
                           required_address(value, "address"), revision};
    }
    if (type == "sighting")
    {
        return owner_query_reply{
            shard, std::move(node), revision,
            milliseconds_up_to(value, "age_ms", limits::max_time)};
    }
    if (type == "yield")
    {
        return yield_request{shard, std::move(node), revision};
    }
    throw codec_error("unknown datagram type '" + printable(type) + "'");
}

} // namespace jaydrift::codec
