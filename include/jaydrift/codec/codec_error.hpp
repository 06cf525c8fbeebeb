#ifndef JAYDRIFT_CODEC_CODEC_ERROR_HPP
#define JAYDRIFT_CODEC_CODEC_ERROR_HPP

#include <stdexcept>

namespace jaydrift::codec {

/// A message or record that cannot be decoded, or a record that cannot be
/// encoded. The text says what is wrong with it.
class codec_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace jaydrift::codec

#endif // JAYDRIFT_CODEC_CODEC_ERROR_HPP
