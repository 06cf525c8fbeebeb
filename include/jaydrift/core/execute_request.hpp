#ifndef JAYDRIFT_CORE_EXECUTE_REQUEST_HPP
#define JAYDRIFT_CORE_EXECUTE_REQUEST_HPP

#include <jaydrift/core/urgent_request.hpp>

namespace jaydrift {

/// Forwards an urgent request to the owner of its ID, which is the owner of the
/// shard that the ID maps to.
struct execute_request
{
    urgent_request request;

    /// The receiver's region runs the request for the owner in the request's
    /// home region.
    bool delegated = false;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_EXECUTE_REQUEST_HPP
