#ifndef JAYDRIFT_DECIDE_EARLY_CLOSE_HPP
#define JAYDRIFT_DECIDE_EARLY_CLOSE_HPP

#include <jaydrift/core/time_ms.hpp>

#include <cstdint>
#include <string>

namespace jaydrift::decide {

/// A close of an availability zone that is applied before it is durable.
struct early_close
{
    std::string zone;

    /// Policy version to which the close applies; a later version replaces the
    /// close.
    std::uint64_t version = 0;

    /// Token of the operator's request, so that the close is written once.
    std::string token;

    /// When this daemon learned of the close.
    time_ms heard_at;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_EARLY_CLOSE_HPP
