#ifndef JAYDRIFT_CORE_QUERY_REQUEST_HPP
#define JAYDRIFT_CORE_QUERY_REQUEST_HPP

#include <string>

namespace jaydrift {

/// Asks an owner what it knows about a request ID.
struct query_request
{
    std::string request;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_QUERY_REQUEST_HPP
