#ifndef JAYDRIFT_NET_JSON_CHECK_HPP
#define JAYDRIFT_NET_JSON_CHECK_HPP

#include <capnp/compat/json.capnp.h>
#include <capnp/schema.h>

namespace jaydrift::net {

/// Checks a JSON document against a schema struct. The JSON codec of Cap'n
/// Proto ignores some mistakes or converts the value, and its errors do not
/// name the field.
///
/// @throws document_error if a field is unknown, given twice, or has a wrong
/// type or value; the message starts with its path.
void check_json(capnp::json::Value::Reader document,
                capnp::StructSchema schema);

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_JSON_CHECK_HPP
