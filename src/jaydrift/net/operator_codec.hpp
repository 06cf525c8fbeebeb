#ifndef JAYDRIFT_NET_OPERATOR_CODEC_HPP
#define JAYDRIFT_NET_OPERATOR_CODEC_HPP

#include <jaydrift/core/operator_reply.hpp>
#include <jaydrift/core/operator_request.hpp>

#include <jaydrift.capnp.h>

namespace jaydrift::net {

/// @throws codec_error if an enumeration value is out of range, a field exceeds
/// 16 MB or a list is too long.
void encode(operator_request const& message,
            schema::OperatorRequest::Builder out);
void encode(operator_reply const& message, schema::OperatorReply::Builder out);

/// @throws codec_error if a union member or enumerant is unknown, a field
/// exceeds 16 MB or the message is malformed.
operator_request decode(schema::OperatorRequest::Reader in);
operator_reply decode(schema::OperatorReply::Reader in);

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_OPERATOR_CODEC_HPP
