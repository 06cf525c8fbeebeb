#ifndef JAYDRIFT_NET_WIRE_FIELD_HPP
#define JAYDRIFT_NET_WIRE_FIELD_HPP

#include "wire_value.hpp"

#include <capnp/blob.h>
#include <capnp/list.h>

#include <optional>
#include <string>
#include <type_traits>

/// Table entries for the kinds of fields and for union members. Each has a
/// `write`, which encodes, and a `read`, which decodes.
namespace jaydrift::net {

/// Maps a plain struct or variant to a struct of the schema. A specialization
/// defines `schema`, the generated struct, `table`, the list of fields or union
/// members, and for a struct `message`, the plain struct itself.
template<class Message>
struct wire_format;

/// Cap'n Proto's reader and builder of the schema struct of a message.
template<class Message>
using wire_reader = typename wire_format<Message>::schema::Reader;
template<class Message>
using wire_builder = typename wire_format<Message>::schema::Builder;

template<class Message>
void write_message(Message const& message, wire_builder<Message> out);
template<class Message>
Message read_message(wire_reader<Message> in);

/// The type that a pointer to a data member points to, or the type of the
/// argument that a setter takes.
template<class Pointer>
struct member_value;
template<class Class, class Value>
struct member_value<Value Class::*>
{
    using type = Value;
};
template<class Class, class Argument>
struct member_value<void (Class::*)(Argument)>
{
    using type = Argument;
};

/// A number, enumeration, time, text or byte string, which a getter and a
/// setter of the schema read and write.
template<auto Member, auto Get, auto Set>
struct value_field
{
    template<class Message, class Builder>
    static void write(Message const& message, Builder& out)
    {
        using wire_type = typename member_value<decltype(Set)>::type;
        (out.*Set)(to_wire<wire_type>(message.*Member));
    }

    template<class Message, class Reader>
    static void read(Reader const& in, Message& message)
    {
        using value = typename member_value<decltype(Member)>::type;
        message.*Member = from_wire<value>((in.*Get)());
    }
};

/// An optional value, with a second field of the schema that tells whether it
/// is present. `Member` is a `std::optional`.
template<auto Member, auto Has, auto SetHas, auto Get, auto Set>
struct optional_field
{
    template<class Message, class Builder>
    static void write(Message const& message, Builder& out)
    {
        if (auto const& value = message.*Member)
        {
            using wire_type = typename member_value<decltype(Set)>::type;
            (out.*SetHas)(true);
            (out.*Set)(to_wire<wire_type>(*value));
        }
    }

    template<class Message, class Reader>
    static void read(Reader const& in, Message& message)
    {
        using value = typename member_value<decltype(Member)>::type::value_type;
        if ((in.*Has)())
        {
            message.*Member = from_wire<value>((in.*Get)());
        }
    }
};

/// A nested message.
template<auto Member, auto Get, auto Init>
struct message_field
{
    template<class Message, class Builder>
    static void write(Message const& message, Builder& out)
    {
        write_message(message.*Member, (out.*Init)());
    }

    template<class Message, class Reader>
    static void read(Reader const& in, Message& message)
    {
        using nested = typename member_value<decltype(Member)>::type;
        message.*Member = read_message<nested>((in.*Get)());
    }
};

/// A list of messages or texts; `Member` is a `std::vector`.
template<auto Member, auto Get, auto Init>
struct list_field
{
    template<class Message, class Builder>
    static void write(Message const& message, Builder& out)
    {
        auto const& items = message.*Member;
        if (items.size() >= capnp::MAX_LIST_ELEMENTS / capnp::ELEMENTS)
        {
            throw codec_error("a list is too long");
        }
        auto const size = static_cast<unsigned>(items.size());
        auto list = (out.*Init)(size);
        for (unsigned i = 0; i < size; ++i)
        {
            if constexpr (std::is_same_v<decltype(items[i]),
                                         std::string const&>)
            {
                list.set(i, to_wire<capnp::Text::Reader>(items[i]));
            }
            else
            {
                write_message(items[i], list[i]);
            }
        }
    }

    template<class Message, class Reader>
    static void read(Reader const& in, Message& message)
    {
        using item = typename member_value<decltype(Member)>::type::value_type;
        auto const list = (in.*Get)();
        auto& items = message.*Member;
        items.reserve(list.size());
        for (auto const element : list)
        {
            if constexpr (std::is_same_v<item, std::string>)
            {
                items.push_back(from_wire<item>(element));
            }
            else
            {
                items.push_back(read_message<item>(element));
            }
        }
    }
};

/// A member of a schema union that holds the alternative `Message` of a
/// variant.
template<class Message, auto Which, auto Get, auto Init>
struct union_member
{
    using message = Message;

    template<class Builder>
    static void write(Message const& value, Builder& out)
    {
        write_message(value, (out.*Init)());
    }

    /// Returns false and leaves `out` unchanged if the union holds another
    /// member.
    template<class Reader, class Variant>
    static bool read(Reader const& in, std::optional<Variant>& out)
    {
        if (in.which() != Which)
        {
            return false;
        }
        out.emplace(read_message<Message>((in.*Get)()));
        return true;
    }
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_WIRE_FIELD_HPP
