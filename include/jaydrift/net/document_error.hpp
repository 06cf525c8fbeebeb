#ifndef JAYDRIFT_NET_DOCUMENT_ERROR_HPP
#define JAYDRIFT_NET_DOCUMENT_ERROR_HPP

#include <stdexcept>

namespace jaydrift::net {

/// Thrown for a JSON document that is malformed, too large or has an invalid
/// field. The message starts with the path of the field, or with `document` if
/// the fault lies in no single field.
class document_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_DOCUMENT_ERROR_HPP
