#include "json_check.hpp"

#include <jaydrift/net/document_error.hpp>

#include <charconv>
#include <cmath>
#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <system_error>

namespace jaydrift::net {

namespace {

using value_reader = capnp::json::Value::Reader;

[[noreturn]] void throw_error(std::string const& path,
                              std::string const& reason)
{
    throw document_error((path.empty() ? "document" : path) + ": " + reason);
}

/// Throws if the condition is false. `expected` completes "expected ...".
void expect(bool condition, std::string const& path, char const* expected)
{
    if (!condition)
    {
        throw_error(path, std::string("expected ") + expected);
    }
}

std::string_view to_view(capnp::Text::Reader text)
{
    return {text.begin(), text.size()};
}

/// Checks a number, or a number in a string, which is how Cap'n Proto writes
/// 64-bit integers.
template<class Integer>
void check_integer(value_reader value, std::string const& path)
{
    using limits = std::numeric_limits<Integer>;
    bool fits = false;
    if (value.isNumber())
    {
        double const number = value.getNumber();
        // `limits::max()` as a double may round up to a number out of range.
        fits = number == std::floor(number)
               && number >= static_cast<double>(limits::min())
               && number < std::ldexp(1.0, limits::digits);
    }
    else if (value.isString())
    {
        auto const text = to_view(value.getString());
        auto const* const end = text.data() + text.size();
        Integer number = 0;
        auto const parsed = std::from_chars(text.data(), end, number);
        fits = parsed.ec == std::errc() && parsed.ptr == end;
    }
    if (!fits)
    {
        throw_error(path, "expected a whole number from "
                              + std::to_string(limits::min()) + " to "
                              + std::to_string(limits::max()));
    }
}

void check_enum(value_reader value, capnp::EnumSchema schema,
                std::string const& path)
{
    expect(value.isString(), path, "a name");
    if (schema.findEnumerantByName(value.getString()) == nullptr)
    {
        std::string names;
        for (auto const enumerant : schema.getEnumerants())
        {
            names += names.empty() ? "" : ", ";
            names += to_view(enumerant.getProto().getName());
        }
        throw_error(path, "expected one of " + names);
    }
}

void check_value(value_reader value, capnp::Type type, std::string const& path);

void check_list(value_reader value, capnp::Type element,
                std::string const& path)
{
    expect(value.isArray(), path, "a list");
    unsigned index = 0;
    for (auto const item : value.getArray())
    {
        check_value(item, element, path + '[' + std::to_string(index++) + ']');
    }
}

void check_struct(value_reader value, capnp::StructSchema schema,
                  std::string const& path)
{
    expect(value.isObject(), path, "an object");
    std::set<std::string_view> names_seen;
    for (auto const member : value.getObject())
    {
        auto member_path = path;
        member_path.append(path.empty() ? "" : ".")
            .append(to_view(member.getName()));
        if (!names_seen.insert(to_view(member.getName())).second)
        {
            throw_error(member_path, "the field is given twice");
        }
        KJ_IF_MAYBE (field, schema.findFieldByName(member.getName()))
        {
            check_value(member.getValue(), field->getType(), member_path);
        }
        else
        {
            throw_error(member_path, "unknown field");
        }
    }
}

void check_value(value_reader value, capnp::Type type, std::string const& path)
{
    switch (type.which())
    {
    case capnp::schema::Type::STRUCT:
        return check_struct(value, type.asStruct(), path);
    case capnp::schema::Type::LIST:
        return check_list(value, type.asList().getElementType(), path);
    case capnp::schema::Type::ENUM:
        return check_enum(value, type.asEnum(), path);
    case capnp::schema::Type::BOOL:
        return expect(value.isBoolean(), path, "true or false");
    case capnp::schema::Type::TEXT:
        return expect(value.isString(), path, "a text");
    case capnp::schema::Type::INT64:
        return check_integer<std::int64_t>(value, path);
    case capnp::schema::Type::UINT64:
        return check_integer<std::uint64_t>(value, path);
    case capnp::schema::Type::UINT32:
        return check_integer<std::uint32_t>(value, path);
    default:
        throw_error(path, "the field cannot be given in JSON");
    }
}

} // namespace

void check_json(value_reader document, capnp::StructSchema schema)
{
    check_struct(document, schema, "");
}

} // namespace jaydrift::net
