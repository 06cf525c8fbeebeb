#ifndef JAYDRIFT_NET_READ_UNTRUSTED_MESSAGE_HPP
#define JAYDRIFT_NET_READ_UNTRUSTED_MESSAGE_HPP

#include "wire.hpp"

#include <kj/exception.h>

namespace jaydrift::net {

/// Decodes a message that another process sent.
///
/// @throws codec_error if the message is malformed, if it has a union member or
/// an enumerant that is unknown here, or if a field exceeds 16 MB.
template<class Message>
Message read_untrusted_message(wire_reader<Message> reader)
{
    try
    {
        return read_message<Message>(reader);
    }
    catch (kj::Exception const& error)
    {
        throw codec_error(error.getDescription().cStr());
    }
}

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_READ_UNTRUSTED_MESSAGE_HPP
