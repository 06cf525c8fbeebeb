#include <jaydrift/codec/peer_codec.hpp>

#include <jaydrift/codec/codec_error.hpp>
#include <jaydrift/codec/json.hpp>
#include <jaydrift/codec/task_assignment_codec.hpp>
#include <jaydrift/codec/task_id_codec.hpp>
#include <jaydrift/core/printable.hpp>
#include <jaydrift/schedule/limits.hpp>

#include <algorithm>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace jaydrift::codec {

namespace {

using namespace schedule;

/// Returns the message's type as it is sent; the names are in the order of the
/// variant. A "sighting" is an `owner_query_reply`.
std::string_view type_of(peer_message const& message)
{
    static constexpr std::string_view names[] = {
        "heartbeat", "reply", "query", "sighting", "yield",
        "worker",    "room",  "offer", "refusal",  "assigned"};
    return names[message.index()];
}

void write_fields(json_writer& out, heartbeat const& message)
{
    put_field(out, "address", message.address);
    put_field(out, "term", static_cast<std::int64_t>(message.term));
    put_field(out, "interval_ms", message.interval.count());
    put_field(out, "firm_load", message.load.firm);
    put_field(out, "opportunistic_load", message.load.opportunistic);
    put_field(out, "long_running_load", message.load.long_running);
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

void write_fields(json_writer& out, worker_request const& message)
{
    put_field(out, "asking_shard", message.asking_shard);
    put_field(out, "kind", static_cast<std::int64_t>(message.kind));
    put_field(out, "service", message.service);
    put_field(out, "required_label", message.required_label);
    put_field(out, "millicores", message.demand.millicores);
    put_field(out, "memory_mb", message.demand.memory_mb);
    put_field(out, "accelerators", message.demand.accelerators);
    put_field(out, "waited_ms", message.waited.count());
    put_field(out, "long_running_millicores", message.long_running_millicores);
    put_field(out, "usable_millicores", message.usable_millicores);
}

void write_task_ids(json_writer& out, std::span<task_id const> tasks)
{
    put_key(out, "tasks");
    out.StartArray();
    for (auto const& each : tasks)
    {
        write_task_id(out, each);
    }
    out.EndArray();
}

/// Writes the demands as arrays.
void write_fields(json_writer& out, room_request const& message)
{
    put_field(out, "asking_shard", message.asking_shard);
    put_key(out, "demands");
    out.StartArray();
    for (auto const& each : message.demands)
    {
        out.StartArray();
        write_task_id(out, each.task);
        put(out, each.service);
        put(out, each.required_label);
        out.Int64(each.demand.millicores);
        out.Int64(each.demand.memory_mb);
        out.Int64(each.demand.accelerators);
        out.Uint(each.max_per_worker);
        out.EndArray();
    }
    out.EndArray();
}

void write_fields(json_writer& out, room_offer const& message)
{
    put_field(out, "offering_shard", message.offering_shard);
    write_task_ids(out, message.tasks);
}

void write_fields(json_writer& out, room_refusal const& message)
{
    write_task_ids(out, message.tasks);
}

void write_fields(json_writer& out, tasks_assigned const& message)
{
    put_key(out, "records");
    out.StartArray();
    for (auto const& each : message.records)
    {
        out.StartObject();
        write_task_assignment(out, each);
        out.EndObject();
    }
    out.EndArray();
}

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
                   load_field(value, "opportunistic_load"),
                   load_field(value, "long_running_load")};
    return result;
}

worker_request read_worker_request(json const& value)
{
    worker_request result;
    result.asking_shard = static_cast<std::uint32_t>(
        integer_between(value, "asking_shard", 0, limits::max_shards - 1));
    result.kind = static_cast<worker_request::shortage_kind>(
        integer_between(value, "kind", 0,
                        static_cast<int>(worker_request::shortage_kind::room)));
    result.service = text(value, "service");
    result.required_label = text(value, "required_label");
    result.demand = {
        integer_between(value, "millicores", 0, limits::max_demand_millicores),
        integer_between(value, "memory_mb", 0, limits::max_amount),
        integer_between(value, "accelerators", 0, limits::max_amount)};
    result.waited = milliseconds_up_to(value, "waited_ms", limits::max_time);
    result.long_running_millicores = integer_between(
        value, "long_running_millicores", 0, limits::max_number);
    result.usable_millicores =
        integer_between(value, "usable_millicores", 0, limits::max_number);
    return result;
}

room_demand read_demand(json const& value)
{
    auto const fields = as_array(value);
    constexpr rapidjson::SizeType field_count = 7;
    if (fields.Size() != field_count)
    {
        throw codec_error("a demand has not seven fields");
    }
    room_demand result;
    result.task = read_task_id(fields[0]);
    result.service = as_text(fields[1]);
    result.required_label = as_text(fields[2]);
    result.demand = {
        as_integer_between(fields[3], 0, limits::max_demand_millicores),
        as_integer_between(fields[4], 0, limits::max_amount),
        as_integer_between(fields[5], 0, limits::max_amount)};
    result.max_per_worker = static_cast<std::uint32_t>(
        as_integer_between(fields[6], 0, limits::max_count));
    return result;
}

room_request read_room_request(json const& value)
{
    room_request result;
    result.asking_shard = static_cast<std::uint32_t>(
        integer_between(value, "asking_shard", 0, limits::max_shards - 1));
    if (auto const* const demands = array(value, "demands"))
    {
        for (auto const& each : demands->GetArray())
        {
            result.demands.push_back(read_demand(each));
        }
    }
    return result;
}

std::vector<task_id> read_task_ids(json const& value)
{
    std::vector<task_id> result;
    if (auto const* const tasks = array(value, "tasks"))
    {
        for (auto const& each : tasks->GetArray())
        {
            result.push_back(read_task_id(each));
        }
    }
    return result;
}

room_offer read_room_offer(json const& value)
{
    room_offer result;
    result.offering_shard = static_cast<std::uint32_t>(
        integer_between(value, "offering_shard", 0, limits::max_shards - 1));
    result.tasks = read_task_ids(value);
    return result;
}

tasks_assigned read_tasks_assigned(json const& value)
{
    tasks_assigned result;
    if (auto const* const records = array(value, "records"))
    {
        for (auto const& each : records->GetArray())
        {
            if (!each.IsObject())
            {
                throw codec_error(
                    "an element of field 'records' is not an object");
            }
            result.records.push_back(read_task_assignment(each));
        }
    }
    return result;
}

room_refusal read_room_refusal(json const& value)
{
    room_refusal result;
    result.tasks = read_task_ids(value);
    return result;
}

/// Sets the fields that all messages have.
template<class Message>
Message with_header(Message message, std::uint32_t shard, std::string_view node,
                    std::uint64_t revision)
{
    message.shard = shard;
    message.node = node;
    message.revision = revision;
    return message;
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
        return with_header(read_heartbeat(value), shard, node, revision);
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
    if (type == "worker")
    {
        return with_header(read_worker_request(value), shard, node, revision);
    }
    if (type == "room")
    {
        return with_header(read_room_request(value), shard, node, revision);
    }
    if (type == "offer")
    {
        return with_header(read_room_offer(value), shard, node, revision);
    }
    if (type == "refusal")
    {
        return with_header(read_room_refusal(value), shard, node, revision);
    }
    if (type == "assigned")
    {
        return with_header(read_tasks_assigned(value), shard, node, revision);
    }
    throw codec_error("unknown datagram type '" + printable(type) + "'");
}

} // namespace jaydrift::codec
