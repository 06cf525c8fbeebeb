#include <jaydrift/app/timeline_text.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <iterator>
#include <stdexcept>
#include <tuple>
#include <utility>

#include <capnp/compat/json.h>
#include <capnp/message.h>

#include <jaydrift/app/text_table.hpp>
#include <jaydrift/process/setting_values.hpp>

namespace jaydrift::app {

namespace {

using text_field = std::pair<std::string_view, std::string timeline_event::*>;

/// Names of the text fields in the schema, with their members.
constexpr std::array<text_field, 5> text_fields{{
    {"process", &timeline_event::process},
    {"name", &timeline_event::name},
    {"request", &timeline_event::request},
    {"task", &timeline_event::task},
    {"detail", &timeline_event::detail},
}};

/// Replaces control characters by spaces, because the JSON reader of Cap'n
/// Proto 0.9.2 decodes their escapes wrongly: `\\u001e` becomes `\\u0014`.
std::string replace_control_characters(std::string text)
{
    std::ranges::replace_if(
        text, [](unsigned char character) { return character < ' '; }, ' ');
    return text;
}

std::string format_event(timeline_event const& event,
                         capnp::JsonCodec const& codec)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<capnp::JsonValue>();
    auto fields = root.initObject(2 + text_fields.size());
    fields[0].setName("atMs");
    fields[0].initValue().setNumber(static_cast<double>(event.at.count()));
    fields[1].setName("sequence");
    fields[1].initValue().setNumber(static_cast<double>(event.sequence));
    unsigned position = 2;
    for (auto const& [name, member] : text_fields)
    {
        fields[position].setName(std::string(name));
        fields[position].initValue().setString(
            replace_control_characters(event.*member));
        ++position;
    }
    return codec.encodeRaw(root).cStr();
}

std::string read_text(capnp::JsonValue::Reader const& value)
{
    if (!value.isString())
    {
        throw std::invalid_argument(
            "a field has the wrong type; allowed: a whole number for atMs and "
            "sequence, a text in quotes for the others");
    }
    auto const text = value.getString();
    return {text.begin(), text.size()};
}

/// Reads a whole number. Cap'n Proto's JSON puts numbers of 64 bits in quotes,
/// so both forms are allowed.
std::uint64_t read_number(capnp::JsonValue::Reader const& value)
{
    if (value.isNumber())
    {
        return static_cast<std::uint64_t>(value.getNumber());
    }
    std::uint64_t result = 0;
    if (process::parse_number(read_text(value), 0, UINT64_MAX, result))
    {
        throw std::invalid_argument("atMs or sequence is not a whole number");
    }
    return result;
}

/// Sets the member that a JSON field belongs to; unknown fields are ignored.
void read_field(std::string_view name, capnp::JsonValue::Reader const& value,
                timeline_event& event)
{
    if (name == "atMs")
    {
        event.at = time_ms(static_cast<std::int64_t>(read_number(value)));
        return;
    }
    if (name == "sequence")
    {
        event.sequence = read_number(value);
        return;
    }
    for (auto const& [text_name, member] : text_fields)
    {
        if (name == text_name)
        {
            event.*member = read_text(value);
        }
    }
}

timeline_event parse_event(std::string_view line, capnp::JsonCodec const& codec)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<capnp::JsonValue>();
    codec.decodeRaw(kj::arrayPtr(line.data(), line.size()), root);
    if (!root.isObject())
    {
        throw std::invalid_argument(
            "not a JSON object; each line must hold one event");
    }
    timeline_event event;
    for (auto const field : root.asReader().getObject())
    {
        read_field(field.getName().cStr(), field.getValue(), event);
    }
    return event;
}

} // namespace

std::string format_timeline_lines(std::span<timeline_event const> events)
{
    capnp::JsonCodec const codec;
    std::string result;
    for (auto const& event : events)
    {
        result += format_event(event, codec) + '\n';
    }
    return result;
}

std::vector<timeline_event> parse_timeline_lines(std::string_view text)
{
    capnp::JsonCodec const codec;
    std::vector<timeline_event> events;
    std::size_t line_number = 0;
    for (auto const line : process::split(text, '\n'))
    {
        ++line_number;
        if (line.empty())
        {
            continue;
        }
        try
        {
            events.push_back(parse_event(line, codec));
        }
        catch (kj::Exception const& error)
        {
            throw std::invalid_argument("line " + std::to_string(line_number)
                                        + ": " + error.getDescription().cStr());
        }
        catch (std::invalid_argument const& error)
        {
            throw std::invalid_argument("line " + std::to_string(line_number)
                                        + ": " + error.what());
        }
    }
    return events;
}

std::vector<timeline_event>
merge_timelines(std::vector<std::vector<timeline_event>> timelines)
{
    std::vector<timeline_event> merged;
    for (auto& events : timelines)
    {
        merged.insert(merged.end(), std::make_move_iterator(events.begin()),
                      std::make_move_iterator(events.end()));
    }
    std::ranges::sort(merged, {}, [](timeline_event const& event) {
        return std::tie(event.at, event.process, event.sequence);
    });
    return merged;
}

std::string format_timeline(std::span<timeline_event const> events)
{
    text_table table({"ms", "process", "event", "request", "task", "detail"});
    for (auto const& event : events)
    {
        table.add_row({std::to_string(event.at.count()), event.process,
                       event.name, event.request, event.task, event.detail});
    }
    return table.text();
}

} // namespace jaydrift::app
