#include <jaydrift/net/json.hpp>

#include "json_check.hpp"
#include "operator_wire.hpp"

#include <jaydrift/net/document_error.hpp>

#include <capnp/compat/json.h>
#include <capnp/message.h>
#include <kj/exception.h>

namespace jaydrift::net {

namespace {

/// Largest document; bounds the memory that parsing allocates.
constexpr std::size_t max_document_bytes = std::size_t{1} << 20;

template<class Message>
Message parse(std::string_view text)
{
    using schema = typename wire_format<Message>::schema;
    if (text.size() > max_document_bytes)
    {
        throw document_error("document: larger than 1 MB");
    }
    try
    {
        capnp::JsonCodec codec;
        capnp::MallocMessageBuilder json_builder;
        auto document = json_builder.initRoot<capnp::JsonValue>();
        codec.decodeRaw(kj::arrayPtr(text.data(), text.size()), document);
        check_json(document, capnp::Schema::from<schema>());
        capnp::MallocMessageBuilder message_builder;
        auto root = message_builder.initRoot<schema>();
        codec.decode(document.asReader(), root);
        return read_message<Message>(root.asReader());
    }
    catch (kj::Exception const& error)
    {
        throw document_error(std::string("document: not valid JSON: ")
                             + error.getDescription().cStr());
    }
}

template<class Message>
std::string print(Message const& message)
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<typename wire_format<Message>::schema>();
    write_message(message, root);
    capnp::JsonCodec codec;
    codec.setPrettyPrint(true);
    return codec.encode(root.asReader()).cStr();
}

} // namespace

policy_document parse_policy(std::string_view json)
{
    return parse<policy_document>(json);
}

std::string print_policy(policy_document const& policy)
{
    return print(policy);
}

job_spec parse_job(std::string_view json) { return parse<job_spec>(json); }

std::string print_job(job_spec const& job) { return print(job); }

std::string print_job_status(job_status const& status) { return print(status); }

std::string print_operator_reply(operator_reply const& reply)
{
    return print(reply);
}

} // namespace jaydrift::net
