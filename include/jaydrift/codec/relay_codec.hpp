#ifndef JAYDRIFT_CODEC_RELAY_CODEC_HPP
#define JAYDRIFT_CODEC_RELAY_CODEC_HPP

#include <jaydrift/schedule/relayed_view.hpp>

#include <string>
#include <string_view>

namespace jaydrift::codec {

/// Encodes the operators' area for another daemon, as JSON.
std::string encode_view(schedule::relayed_view const& view);

/// Decodes what another daemon has encoded.
///
/// @throws codec_error if it is not JSON, or a field is of another type or out
/// of range.
schedule::relayed_view decode_view(std::string_view bytes);

} // namespace jaydrift::codec

#endif // JAYDRIFT_CODEC_RELAY_CODEC_HPP
