#ifndef JAYDRIFT_CODEC_QUEUE_CODEC_HPP
#define JAYDRIFT_CODEC_QUEUE_CODEC_HPP

#include <jaydrift/codec/json.hpp>

#include <string>
#include <string_view>

namespace jaydrift::schedule {

struct queue;
struct selected_queue;

} // namespace jaydrift::schedule

namespace jaydrift::codec {

/// Writes the configuration of a queue as an object.
void write_queue(json_writer& out, schedule::queue const& each);

/// @throws codec_error if a field is of another type or out of range.
schedule::queue read_queue(json const& value);

/// Encodes the queue of a call for the header of an HTTP message: as JSON in
/// base64, since names may have any characters.
std::string encode_selected_queue(schedule::selected_queue const& selected);

/// @throws codec_error if the text is not base64 of JSON, or as `read_queue`.
schedule::selected_queue decode_selected_queue(std::string_view text);

} // namespace jaydrift::codec

#endif // JAYDRIFT_CODEC_QUEUE_CODEC_HPP
