#include "worker_codec.hpp"

#include "read_untrusted_message.hpp"
#include "worker_wire.hpp"

namespace jaydrift::net {

void encode(worker_request const& message, schema::WorkerRequest::Builder out)
{
    write_message(message, out);
}

void encode(worker_reply const& message, schema::WorkerReply::Builder out)
{
    write_message(message, out);
}

worker_request decode(schema::WorkerRequest::Reader in)
{
    return read_untrusted_message<worker_request>(in);
}

worker_reply decode(schema::WorkerReply::Reader in)
{
    return read_untrusted_message<worker_reply>(in);
}

} // namespace jaydrift::net
