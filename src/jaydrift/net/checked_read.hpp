#ifndef JAYDRIFT_NET_CHECKED_READ_HPP
#define JAYDRIFT_NET_CHECKED_READ_HPP

#include "wire.hpp"

#include <kj/exception.h>

namespace jaydrift::net {

/// Reads a message from another process.
///
/// @throws codec_error if a union member or enumerant is unknown or the message
/// is malformed.
template<class Message>
Message checked_read(wire_reader<Message> in)
{
    try
    {
        return read_message<Message>(in);
    }
    catch (kj::Exception const& error)
    {
        throw codec_error(error.getDescription().cStr());
    }
}

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_CHECKED_READ_HPP
