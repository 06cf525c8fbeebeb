#ifndef JAYDRIFT_NET_STORE_CODEC_HPP
#define JAYDRIFT_NET_STORE_CODEC_HPP

#include <jaydrift/core/store_reply.hpp>
#include <jaydrift/core/store_request.hpp>

#include <jaydrift.capnp.h>

namespace jaydrift::net {

/// @throws codec_error if an enumeration value is out of range, a field exceeds
/// 16 MB or a list is too long.
void encode(store_request const& message, schema::StoreRequest::Builder out);
void encode(store_reply const& message, schema::StoreReply::Builder out);

/// @throws codec_error if a union member or enumerant is unknown, a field
/// exceeds 16 MB or the message is malformed.
store_request decode(schema::StoreRequest::Reader in);
store_reply decode(schema::StoreReply::Reader in);

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_STORE_CODEC_HPP
