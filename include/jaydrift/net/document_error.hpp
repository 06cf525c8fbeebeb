#ifndef JAYDRIFT_NET_DOCUMENT_ERROR_HPP
#define JAYDRIFT_NET_DOCUMENT_ERROR_HPP

#include <stdexcept>

namespace jaydrift::net {

/// A JSON document is malformed; the message names the field's path.
class document_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_DOCUMENT_ERROR_HPP
