#include "peer_codec.hpp"

#include "peer_wire.hpp"
#include "read_untrusted_message.hpp"

namespace jaydrift::net {

void encode(peer_request const& message, schema::PeerRequest::Builder out)
{
    write_message(message, out);
}

void encode(peer_reply const& message, schema::PeerReply::Builder out)
{
    write_message(message, out);
}

peer_request decode(schema::PeerRequest::Reader in)
{
    return read_untrusted_message<peer_request>(in);
}

peer_reply decode(schema::PeerReply::Reader in)
{
    return read_untrusted_message<peer_reply>(in);
}

} // namespace jaydrift::net
