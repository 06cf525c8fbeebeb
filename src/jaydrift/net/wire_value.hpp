#ifndef JAYDRIFT_NET_WIRE_VALUE_HPP
#define JAYDRIFT_NET_WIRE_VALUE_HPP

#include <jaydrift/core/time_ms.hpp>
#include <jaydrift/net/codec_error.hpp>

#include <cstddef>
#include <string>
#include <type_traits>

/// Conversions between single values of a message (`Value`) and of the schema
/// (`Wire`).
namespace jaydrift::net {

/// Largest payload, answer, value of the store or text.
inline constexpr std::size_t max_field_bytes = std::size_t{16} << 20;

/// Names the last enumerant of an enumeration, in C++ (`last`) and in the
/// schema
/// (`last_on_wire`). Values are converted by number, so both must list the same
/// enumerants in the same order.
template<class Enum>
struct wire_enum;

/// Converts a value for the schema. A text or byte string is referred to, not
/// copied.
///
/// @throws codec_error if a text or byte string exceeds `max_field_bytes` or an
/// enumeration value is out of range.
template<class Wire, class Value>
Wire to_wire(Value const& value)
{
    if constexpr (std::is_same_v<Value, std::string>)
    {
        if (value.size() > max_field_bytes)
        {
            throw codec_error("a field exceeds 16 MB");
        }
        using byte = std::remove_reference_t<decltype(*Wire().begin())>;
        return Wire(reinterpret_cast<byte*>(value.data()), value.size());
    }
    else if constexpr (std::is_same_v<Value, time_ms>)
    {
        return value.count();
    }
    else if constexpr (std::is_enum_v<Value>)
    {
        using limits = wire_enum<Value>;
        static_assert(static_cast<unsigned>(limits::last)
                      == static_cast<unsigned>(limits::last_on_wire));
        if (value > limits::last)
        {
            throw codec_error("enumeration value out of range");
        }
        return static_cast<Wire>(value);
    }
    else
    {
        return value;
    }
}

/// Converts a received value; copies a text or byte string.
///
/// @throws codec_error if a text or byte string exceeds `max_field_bytes` or an
/// enumerant is unknown.
template<class Value, class Wire>
Value from_wire(Wire value)
{
    if constexpr (std::is_same_v<Value, std::string>)
    {
        if (value.size() > max_field_bytes)
        {
            throw codec_error("a field exceeds 16 MB");
        }
        auto const* const bytes = value.begin();
        return {reinterpret_cast<char const*>(bytes), value.size()};
    }
    else if constexpr (std::is_enum_v<Value>)
    {
        if (value > wire_enum<Value>::last_on_wire)
        {
            throw codec_error("unknown enumerant "
                              + std::to_string(static_cast<unsigned>(value)));
        }
        return static_cast<Value>(value);
    }
    else
    {
        return Value(value);
    }
}

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_WIRE_VALUE_HPP
