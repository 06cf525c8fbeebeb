#ifndef JAYDRIFT_CORE_FENCE_REQUEST_HPP
#define JAYDRIFT_CORE_FENCE_REQUEST_HPP

#include <jaydrift/core/ownership_term.hpp>

namespace jaydrift {

/// Raises the epoch of a shard on a worker; the reply lists its tasks.
struct fence_request
{
    ownership_term term;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_FENCE_REQUEST_HPP
