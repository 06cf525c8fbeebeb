#ifndef JAYDRIFT_NET_CODEC_ERROR_HPP
#define JAYDRIFT_NET_CODEC_ERROR_HPP

#include <stdexcept>

namespace jaydrift::net {

/// A received message does not fit the schema's current version.
class codec_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_CODEC_ERROR_HPP
