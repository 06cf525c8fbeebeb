#ifndef JAYDRIFT_CORE_READ_REQUEST_HPP
#define JAYDRIFT_CORE_READ_REQUEST_HPP

#include <string>

namespace jaydrift {

/// Reads every key of the store that starts with a prefix.
struct read_request
{
    std::string prefix;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_READ_REQUEST_HPP
