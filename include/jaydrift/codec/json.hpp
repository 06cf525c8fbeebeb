#ifndef JAYDRIFT_CODEC_JSON_HPP
#define JAYDRIFT_CODEC_JSON_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace jaydrift::codec {

using json = rapidjson::Value;
using json_writer = rapidjson::Writer<rapidjson::StringBuffer>;

/// Parses a text that holds one JSON object.
///
/// @throws codec_error if it is not JSON or not an object.
rapidjson::Document parse_object(std::string_view text);

/// The same for a text that must be UTF-8.
///
/// @throws codec_error if it is not UTF-8.
rapidjson::Document parse_utf8_object(std::string_view text);

/// Returns a field, or null if it is absent or null.
///
/// @throws codec_error if the value is not an object.
json const* find(json const& object, std::string_view name);

/// Returns a string field; if it is absent or null, an empty string.
///
/// @throws codec_error if the field is of another type.
std::string text(json const& object, std::string_view name);

/// Returns a field of another type; if it is absent or null, the given default,
/// 0 or false. `integer` and `milliseconds` drop the fraction of a number.
///
/// @throws codec_error if the field is of another type, or if an integer is too
/// large to be exact.
std::int64_t integer(json const& object, std::string_view name,
                     std::int64_t default_value = 0);
double number(json const& object, std::string_view name,
              double default_value = 0);
bool boolean(json const& object, std::string_view name);
time_ms milliseconds(json const& object, std::string_view name);

/// Returns a whole number from `min` to `max`; if it is absent or null, the
/// default.
///
/// @throws codec_error if the field is of another type, or if its value or the
/// default is out of range.
std::int64_t integer_between(json const& object, std::string_view name,
                             std::int64_t min, std::int64_t max,
                             std::int64_t default_value = 0);
time_ms milliseconds_up_to(json const& object, std::string_view name,
                           time_ms max);

/// Returns a number from `min` to `max`; if it is absent or null, 0.
///
/// @throws codec_error if the field is of another type or out of range.
double number_between(json const& object, std::string_view name, double min,
                      double max);

/// Returns a string of at most 200 bytes; if it is absent or null, an empty
/// string.
///
/// @throws codec_error if the field is of another type or longer.
std::string short_text(json const& object, std::string_view name);

/// Returns a string for which `is_name` holds.
///
/// @throws codec_error if the field is absent or anything else.
std::string required_name(json const& object, std::string_view name);

/// Returns a string for which `is_network_address` holds.
///
/// @throws codec_error if the field is absent or anything else.
std::string required_address(json const& object, std::string_view name);

/// Returns an array, or a null pointer if the field is absent or null.
///
/// @throws codec_error if the field is of another type.
json const* array(json const& object, std::string_view name);

/// Returns an array of strings; empty if the field is absent or null.
///
/// @throws codec_error if the field is of another type.
std::vector<std::string> texts(json const& object, std::string_view name);

/// Returns a string that is an element of an array or object.
///
/// @throws codec_error if it is of another type.
std::string as_text(json const& value);

/// Returns a number that is an element of an array or object, without its
/// fraction.
///
/// @throws codec_error if it is not a number, or too large to be exact.
std::int64_t as_integer(json const& value);

/// Returns a whole number from `min` to `max` that is an element of an array.
///
/// @throws codec_error if it is not a whole number or out of range.
std::int64_t as_integer_between(json const& value, std::int64_t min,
                                std::int64_t max);

/// Returns an array that is an element of an array.
///
/// @throws codec_error if it is of another type.
json::ConstArray as_array(json const& value);

/// Writes the name of a field; its value must follow.
void put_key(json_writer& writer, std::string_view name);

/// Writes a string as a value.
void put(json_writer& writer, std::string_view value);

/// Writes a field, unless its value is the default: empty, 0 or false. The
/// functions above return that default for an absent field.
void put_field(json_writer& writer, std::string_view name,
               std::string_view value);
void put_field(json_writer& writer, std::string_view name, std::int64_t value);
void put_boolean(json_writer& writer, std::string_view name, bool value);

/// Returns the text that a writer has put into its buffer.
std::string text_of(rapidjson::StringBuffer const& buffer);

} // namespace jaydrift::codec

#endif // JAYDRIFT_CODEC_JSON_HPP
