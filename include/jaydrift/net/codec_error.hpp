#ifndef JAYDRIFT_NET_CODEC_ERROR_HPP
#define JAYDRIFT_NET_CODEC_ERROR_HPP

#include <stdexcept>

namespace jaydrift::net {

/// A message cannot be encoded or decoded: it is malformed, holds a value that
/// this version of the schema does not know, or exceeds a size limit.
class codec_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace jaydrift::net

#endif // JAYDRIFT_NET_CODEC_ERROR_HPP
