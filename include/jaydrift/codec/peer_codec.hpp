#ifndef JAYDRIFT_CODEC_PEER_CODEC_HPP
#define JAYDRIFT_CODEC_PEER_CODEC_HPP

#include <jaydrift/schedule/peer_message.hpp>

#include <string>
#include <string_view>

namespace jaydrift::codec {

/// Encodes a datagram between daemons as JSON.
std::string encode_message(schedule::peer_message const& message);

/// Decodes a datagram between daemons.
///
/// @throws codec_error if it is not JSON, its type is unknown, or a field is of
/// another type.
schedule::peer_message decode_message(std::string_view bytes);

} // namespace jaydrift::codec

#endif // JAYDRIFT_CODEC_PEER_CODEC_HPP
