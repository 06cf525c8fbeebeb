#include "peer_codec.hpp"

#include "checked_read.hpp"
#include "peer_wire.hpp"

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
    return checked_read<peer_request>(in);
}

peer_reply decode(schema::PeerReply::Reader in)
{
    return checked_read<peer_reply>(in);
}

} // namespace jaydrift::net
