#include "operator_codec.hpp"

#include "operator_wire.hpp"
#include "read_untrusted_message.hpp"

namespace jaydrift::net {

void encode(operator_request const& message,
            schema::OperatorRequest::Builder out)
{
    write_message(message, out);
}

void encode(operator_reply const& message, schema::OperatorReply::Builder out)
{
    write_message(message, out);
}

operator_request decode(schema::OperatorRequest::Reader in)
{
    return read_untrusted_message<operator_request>(in);
}

operator_reply decode(schema::OperatorReply::Reader in)
{
    return read_untrusted_message<operator_reply>(in);
}

} // namespace jaydrift::net
