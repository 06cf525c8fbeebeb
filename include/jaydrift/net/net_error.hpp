#ifndef JAYDRIFT_NET_NET_ERROR_HPP
#define JAYDRIFT_NET_NET_ERROR_HPP

#include <stdexcept>

namespace jaydrift::net {

/// Thrown when a network operation fails, such as binding an address that is in
/// use, connecting, or reading a response. The message names the address or the
/// operation.
class net_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_NET_ERROR_HPP
