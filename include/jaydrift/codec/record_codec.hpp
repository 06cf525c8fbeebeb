#ifndef JAYDRIFT_CODEC_RECORD_CODEC_HPP
#define JAYDRIFT_CODEC_RECORD_CODEC_HPP

#include <jaydrift/schedule/record_kind.hpp>
#include <jaydrift/schedule/store_record.hpp>

#include <string>
#include <string_view>

namespace jaydrift::codec {

/// Encodes a record that the daemons themselves write to the store, as JSON.
///
/// @throws codec_error if the record is one of the platform's.
std::string encode_record(schedule::store_record const& record);

/// Decodes a record that the daemons wrote.
///
/// @throws codec_error if it is not JSON, a field is of another type, or the
/// kind is one of the platform's.
schedule::store_record decode_record(schedule::record_kind kind,
                                     std::string_view bytes);

} // namespace jaydrift::codec

#endif // JAYDRIFT_CODEC_RECORD_CODEC_HPP
