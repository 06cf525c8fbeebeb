#include "store_codec.hpp"

#include "read_untrusted_message.hpp"
#include "store_wire.hpp"

namespace jaydrift::net {

void encode(store_request const& message, schema::StoreRequest::Builder out)
{
    write_message(message, out);
}

void encode(store_reply const& message, schema::StoreReply::Builder out)
{
    write_message(message, out);
}

store_request decode(schema::StoreRequest::Reader in)
{
    return read_untrusted_message<store_request>(in);
}

store_reply decode(schema::StoreReply::Reader in)
{
    return read_untrusted_message<store_reply>(in);
}

} // namespace jaydrift::net
