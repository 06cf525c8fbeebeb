#ifndef JAYDRIFT_NET_WIRE_HPP
#define JAYDRIFT_NET_WIRE_HPP

#include "wire_field.hpp"

#include <optional>
#include <string>
#include <utility>
#include <variant>

/// Table-driven codecs: each message names its fields once, in the table of a
/// `wire_format` specialization, and encoding and decoding both follow that
/// table.
namespace jaydrift::net {

/// The table of a struct: its fields, each a `value_field`, `optional_field`,
/// `message_field` or `list_field`.
template<class... Fields>
struct field_list
{
    template<class Message, class Builder>
    static void write(Message const& message, Builder& out)
    {
        (Fields::write(message, out), ...);
    }

    template<class Message, class Reader>
    static Message read(Reader const& in)
    {
        Message message;
        (Fields::read(in, message), ...);
        return message;
    }
};

/// The table of a variant: one `union_member` for each alternative.
template<class... Members>
struct union_member_list
{
    template<class Variant, class Builder>
    static void write(Variant const& variant, Builder& out)
    {
        static_assert(std::variant_size_v<Variant> == sizeof...(Members));
        (write_if<Members>(variant, out), ...);
    }

    /// @throws codec_error if the union member is not in the table.
    template<class Variant, class Reader>
    static Variant read(Reader const& in)
    {
        std::optional<Variant> variant;
        if (!(Members::read(in, variant) || ...))
        {
            throw codec_error(
                "unknown union member "
                + std::to_string(static_cast<unsigned>(in.which())));
        }
        return *std::move(variant);
    }

private:
    template<class Member, class Variant, class Builder>
    static void write_if(Variant const& variant, Builder& out)
    {
        if (auto const* const value =
                std::get_if<typename Member::message>(&variant))
        {
            Member::write(*value, out);
        }
    }
};

/// Encodes a message by its table.
///
/// @throws codec_error if a value is out of range or too large.
template<class Message>
void write_message(Message const& message, wire_builder<Message> out)
{
    wire_format<Message>::table::write(message, out);
}

/// Decodes a message by its table.
///
/// @throws codec_error if a union member or enumerant is unknown or a field is
/// too large.
/// @throws kj::Exception if the message is malformed.
template<class Message>
Message read_message(wire_reader<Message> in)
{
    return wire_format<Message>::table::template read<Message>(in);
}

} // namespace jaydrift::net

/// Shorthands for the entries of a table. They may be used only within a
/// `wire_format` specialization, whose `message` and `schema` they refer to.
/// `Name` is the schema's field name with a capital first letter; `member` is
/// the struct's data member; `Has` names the schema field that tells whether an
/// optional field is present; `WHICH` is the union member's generated
/// enumerator.
#define JAYDRIFT_VALUE(member, Name)                                           \
    value_field<&message::member, &schema::Reader::get##Name,                  \
                &schema::Builder::set##Name>
#define JAYDRIFT_OPTIONAL(member, Has, Name)                                   \
    optional_field<&message::member, &schema::Reader::get##Has,                \
                   &schema::Builder::set##Has, &schema::Reader::get##Name,     \
                   &schema::Builder::set##Name>
#define JAYDRIFT_MESSAGE(member, Name)                                         \
    message_field<&message::member, &schema::Reader::get##Name,                \
                  &schema::Builder::init##Name>
#define JAYDRIFT_LIST(member, Name)                                            \
    list_field<&message::member, &schema::Reader::get##Name,                   \
               &schema::Builder::init##Name>
#define JAYDRIFT_UNION_MEMBER(Type, WHICH, Name)                               \
    union_member<Type, schema::WHICH, &schema::Reader::get##Name,              \
                 &schema::Builder::init##Name>

#endif // JAYDRIFT_NET_WIRE_HPP
