#include <jaydrift/codec/json.hpp>

#include <jaydrift/codec/codec_error.hpp>
#include <jaydrift/core/network_address.hpp>
#include <jaydrift/core/printable.hpp>

#include <cmath>

namespace jaydrift::codec {

namespace {

/// Reports a field of the wrong type.
[[noreturn]] void throw_wrong_type(std::string_view name,
                                   std::string_view expected)
{
    throw codec_error("field '" + std::string(name) + "' is not "
                      + std::string(expected));
}

[[noreturn]] void throw_out_of_range(std::string_view name)
{
    throw codec_error("field '" + std::string(name) + "' is out of range");
}

/// The iterative parser needs no stack for nested values.
template<unsigned Flags>
rapidjson::Document parse(std::string_view text)
{
    rapidjson::Document result;
    result.Parse<Flags | rapidjson::kParseIterativeFlag>(text.data(),
                                                         text.size());
    if (result.HasParseError())
    {
        throw codec_error("not JSON at byte "
                          + std::to_string(result.GetErrorOffset()));
    }
    if (!result.IsObject())
    {
        throw codec_error("not a JSON object");
    }
    return result;
}

} // namespace

rapidjson::Document parse_object(std::string_view text)
{
    return parse<rapidjson::kParseNoFlags>(text);
}

rapidjson::Document parse_utf8_object(std::string_view text)
{
    return parse<rapidjson::kParseValidateEncodingFlag>(text);
}

json const* find(json const& object, std::string_view name)
{
    if (!object.IsObject())
    {
        throw codec_error("a value that should have a field '"
                          + std::string(name) + "' is not an object");
    }
    auto const found =
        object.FindMember(json(rapidjson::StringRef(name.data(), name.size())));
    return found == object.MemberEnd() || found->value.IsNull() ? nullptr
                                                                : &found->value;
}

std::string text(json const& object, std::string_view name)
{
    auto const* const value = find(object, name);
    if (value && !value->IsString())
    {
        throw_wrong_type(name, "a text");
    }
    return value ? std::string(value->GetString(), value->GetStringLength())
                 : std::string();
}

std::int64_t integer(json const& object, std::string_view name,
                     std::int64_t default_value)
{
    auto const* const value = find(object, name);
    if (value && !value->IsNumber())
    {
        throw_wrong_type(name, "a number");
    }
    return value ? as_integer(*value) : default_value;
}

double number(json const& object, std::string_view name, double default_value)
{
    auto const* const value = find(object, name);
    if (value && !value->IsNumber())
    {
        throw_wrong_type(name, "a number");
    }
    return value ? value->GetDouble() : default_value;
}

bool boolean(json const& object, std::string_view name)
{
    auto const* const value = find(object, name);
    if (value && !value->IsBool())
    {
        throw_wrong_type(name, "true or false");
    }
    return value && value->GetBool();
}

time_ms milliseconds(json const& object, std::string_view name)
{
    return time_ms(integer(object, name));
}

std::int64_t integer_between(json const& object, std::string_view name,
                             std::int64_t min, std::int64_t max,
                             std::int64_t default_value)
{
    auto const* const value = find(object, name);
    if (!value)
    {
        if (default_value < min || default_value > max)
        {
            throw codec_error("field '" + std::string(name) + "' is missing");
        }
        return default_value;
    }
    try
    {
        return as_integer_between(*value, min, max);
    }
    catch (codec_error const& error)
    {
        throw codec_error("field '" + std::string(name) + "': " + error.what());
    }
}

time_ms milliseconds_up_to(json const& object, std::string_view name,
                           time_ms max)
{
    return time_ms(integer_between(object, name, 0, max.count()));
}

double number_between(json const& object, std::string_view name, double min,
                      double max)
{
    auto const result = number(object, name);
    if (!(result >= min && result <= max) && find(object, name))
    {
        throw_out_of_range(name);
    }
    return result;
}

std::string short_text(json const& object, std::string_view name)
{
    constexpr std::size_t max_size = 200;
    auto result = text(object, name);
    if (result.size() > max_size)
    {
        throw codec_error("field '" + std::string(name) + "' is too long");
    }
    return result;
}

std::string required_name(json const& object, std::string_view name)
{
    auto result = text(object, name);
    if (!is_name(result))
    {
        throw codec_error("field '" + std::string(name) + "' is not a name: '"
                          + printable(result) + "'");
    }
    return result;
}

std::string required_address(json const& object, std::string_view name)
{
    auto result = text(object, name);
    if (!is_network_address(result))
    {
        throw codec_error("field '" + std::string(name) + "' is not IP:PORT: '"
                          + printable(result) + "'");
    }
    return result;
}

json const* array(json const& object, std::string_view name)
{
    auto const* const value = find(object, name);
    if (value && !value->IsArray())
    {
        throw_wrong_type(name, "an array");
    }
    return value;
}

std::vector<std::string> texts(json const& object, std::string_view name)
{
    std::vector<std::string> result;
    if (auto const* const values = array(object, name))
    {
        for (auto const& value : values->GetArray())
        {
            result.push_back(as_text(value));
        }
    }
    return result;
}

std::string as_text(json const& value)
{
    if (!value.IsString())
    {
        throw codec_error("an element is not a text");
    }
    return {value.GetString(), value.GetStringLength()};
}

std::int64_t as_integer(json const& value)
{
    if (value.IsInt64())
    {
        return value.GetInt64();
    }
    // Below 2^53 (about 9.007e15), a double holds every whole number exactly.
    constexpr double max_exact_integer = 9e15;
    if (!value.IsNumber() || !(value.GetDouble() < max_exact_integer)
        || !(value.GetDouble() > -max_exact_integer))
    {
        throw codec_error("an element is not a whole number");
    }
    return static_cast<std::int64_t>(value.GetDouble());
}

std::int64_t as_integer_between(json const& value, std::int64_t min,
                                std::int64_t max)
{
    auto const result = as_integer(value);
    if (!value.IsInt64() && std::trunc(value.GetDouble()) != value.GetDouble())
    {
        throw codec_error("an element is not a whole number");
    }
    if (result < min || result > max)
    {
        throw codec_error("a number is out of range");
    }
    return result;
}

json::ConstArray as_array(json const& value)
{
    if (!value.IsArray())
    {
        throw codec_error("an element is not an array");
    }
    return value.GetArray();
}

void put_key(json_writer& writer, std::string_view name)
{
    writer.Key(name.data(), static_cast<rapidjson::SizeType>(name.size()));
}

void put(json_writer& writer, std::string_view value)
{
    writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

void put_field(json_writer& writer, std::string_view name,
               std::string_view value)
{
    if (!value.empty())
    {
        put_key(writer, name);
        put(writer, value);
    }
}

void put_field(json_writer& writer, std::string_view name, std::int64_t value)
{
    if (value != 0)
    {
        put_key(writer, name);
        writer.Int64(value);
    }
}

void put_boolean(json_writer& writer, std::string_view name, bool value)
{
    if (value)
    {
        put_key(writer, name);
        writer.Bool(true);
    }
}

std::string text_of(rapidjson::StringBuffer const& buffer)
{
    return {buffer.GetString(), buffer.GetSize()};
}

} // namespace jaydrift::codec
