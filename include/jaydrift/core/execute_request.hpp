#ifndef JAYDRIFT_CORE_EXECUTE_REQUEST_HPP
#define JAYDRIFT_CORE_EXECUTE_REQUEST_HPP

#include <jaydrift/core/urgent_request.hpp>

namespace jaydrift {

/// Forwards an urgent request to the owner of its ID.
struct execute_request
{
    urgent_request request;

    /// The receiver runs the request for a shard of another region.
    bool delegated = false;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_EXECUTE_REQUEST_HPP
