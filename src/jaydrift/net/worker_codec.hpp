#ifndef JAYDRIFT_NET_WORKER_CODEC_HPP
#define JAYDRIFT_NET_WORKER_CODEC_HPP

#include <jaydrift/core/worker_reply.hpp>
#include <jaydrift/core/worker_request.hpp>

#include <jaydrift.capnp.h>

namespace jaydrift::net {

/// @throws codec_error if an enumeration value is out of range, a field exceeds
/// 16 MB or a list is too long.
void encode(worker_request const& message, schema::WorkerRequest::Builder out);
void encode(worker_reply const& message, schema::WorkerReply::Builder out);

/// @throws codec_error if a union member or enumerant is unknown, a field
/// exceeds 16 MB or the message is malformed.
worker_request decode(schema::WorkerRequest::Reader in);
worker_reply decode(schema::WorkerReply::Reader in);

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_WORKER_CODEC_HPP
