#ifndef JAYDRIFT_NET_NET_ERROR_HPP
#define JAYDRIFT_NET_NET_ERROR_HPP

#include <stdexcept>

namespace jaydrift::net {

/// A server could not be started, such as when its address is in use.
class net_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_NET_ERROR_HPP
