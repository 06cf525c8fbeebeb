#ifndef JAYDRIFT_CORE_POLICY_UPDATE_HPP
#define JAYDRIFT_CORE_POLICY_UPDATE_HPP

#include <jaydrift/core/policy_document.hpp>

namespace jaydrift {

/// Tells a daemon of a policy version that is durable.
struct policy_update
{
    policy_document policy;

    /// The receiver passes the update on to the daemons of its region.
    bool relay = false;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_POLICY_UPDATE_HPP
