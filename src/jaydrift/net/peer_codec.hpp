#ifndef JAYDRIFT_NET_PEER_CODEC_HPP
#define JAYDRIFT_NET_PEER_CODEC_HPP

#include <jaydrift/core/peer_reply.hpp>
#include <jaydrift/core/peer_request.hpp>

#include <jaydrift.capnp.h>

namespace jaydrift::net {

/// @throws codec_error if an enumeration value is out of range, a field exceeds
/// 16 MB or a list is too long.
void encode(peer_request const& message, schema::PeerRequest::Builder out);
void encode(peer_reply const& message, schema::PeerReply::Builder out);

/// @throws codec_error if a union member or enumerant is unknown, a field
/// exceeds 16 MB or the message is malformed.
peer_request decode(schema::PeerRequest::Reader in);
peer_reply decode(schema::PeerReply::Reader in);

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_PEER_CODEC_HPP
