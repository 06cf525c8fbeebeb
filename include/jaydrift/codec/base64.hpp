#ifndef JAYDRIFT_CODEC_BASE64_HPP
#define JAYDRIFT_CODEC_BASE64_HPP

#include <string>
#include <string_view>

namespace jaydrift::codec {

/// Encodes bytes in standard base64 with padding.
std::string encode_base64(std::string_view bytes);

/// Decodes standard base64 with padding.
///
/// @throws codec_error if the length or a character is wrong.
std::string decode_base64(std::string_view text);

} // namespace jaydrift::codec

#endif // JAYDRIFT_CODEC_BASE64_HPP
